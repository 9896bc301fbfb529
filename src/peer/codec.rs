//! MessagePack as the codec of gRPC messages.

use std::marker::PhantomData;

use bytes::{Buf, BufMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::Status;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Writes and reads messages as MessagePack.
#[derive(Debug)]
pub(crate) struct PackCodec<T, U>(PhantomData<(T, U)>);

impl<T, U> Default for PackCodec<T, U> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<T: Serialize + Send + 'static, U: DeserializeOwned + Send + 'static> Codec for PackCodec<T, U> {
    type Encode = T;
    type Decode = U;
    type Encoder = PackEncoder<T>;
    type Decoder = PackDecoder<U>;

    fn encoder(&mut self) -> PackEncoder<T> {
        PackEncoder(PhantomData)
    }

    fn decoder(&mut self) -> PackDecoder<U> {
        PackDecoder(PhantomData)
    }
}

#[derive(Debug)]
pub(crate) struct PackEncoder<T>(PhantomData<T>);

impl<T: Serialize> Encoder for PackEncoder<T> {
    type Item = T;
    type Error = Status;

    fn encode(&mut self, item: T, buffer: &mut EncodeBuf<'_>) -> Result<(), Status> {
        // Field names cost bytes, but hosts of two releases run side by side during an update.
        let write = rmp_serde::encode::write_named(&mut buffer.writer(), &item);
        write.map_err(|e| Status::internal(e.to_string()))
    }
}

#[derive(Debug)]
pub(crate) struct PackDecoder<U>(PhantomData<U>);

impl<U: DeserializeOwned> Decoder for PackDecoder<U> {
    type Item = U;
    type Error = Status;

    fn decode(&mut self, buffer: &mut DecodeBuf<'_>) -> Result<Option<U>, Status> {
        let read = rmp_serde::decode::from_read(buffer.reader());
        read.map(Some).map_err(|e| Status::invalid_argument(e.to_string()))
    }
}
