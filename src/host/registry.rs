//! Claims idempotency keys at the registers of all members.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::Shared;
use crate::fold::Membership;
use crate::once::{
    Claim, ClaimAction, ClaimMessage, ClaimOutcome, ClaimSpec, CopyAsk, Register, RegisterLimits, StoredAnswer,
};
use crate::peer::{CopyQuestion, RegisterAnswer};
use crate::types::{Instance, Verdict};

/// Time between two looks at a claim for messages that are due again.
const CLAIM_TICK: Duration = Duration::from_millis(20);
/// Time between two looks at the register for pages that are to be copied.
const COPY_TICK: Duration = Duration::from_millis(50);
/// Time after the end of an attempt in which its members are told. One that is not reached by then
/// is no longer a member, or learns it when it copies.
const SETTLE_LIMIT: Duration = Duration::from_mins(1);
/// Memory for stored answers, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Withdrawn attempts that are remembered.
const WITHDRAWN_MAX: usize = 100_000;

/// This host's register.
#[derive(Debug)]
pub(crate) struct Registry {
    me: Instance,
    register: Mutex<Register>,
}

/// How an attempt that won its claim ended.
type Conclusion = (Verdict, Option<StoredAnswer>);

/// A won claim. Dropped without a conclusion, it counts as one that may have run.
#[derive(Debug)]
pub(crate) struct WonClaim(Option<oneshot::Sender<Conclusion>>);

impl WonClaim {
    /// Ends the attempt; `NotRun` needs a proof.
    pub(crate) fn conclude(mut self, verdict: Verdict, answer: Option<StoredAnswer>) {
        if let Some(sender) = self.0.take() {
            sender.send((verdict, answer)).ok();
        }
    }
}

impl Registry {
    pub(crate) fn new(me: Instance, entries: u32) -> Self {
        let limits = RegisterLimits {
            entries: entries as usize,
            answer_bytes: ANSWER_BYTES,
            withdrawn: WITHDRAWN_MAX,
        };
        Self {
            me: me.clone(),
            register: Mutex::new(Register::new(me, limits)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Register> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether this host's votes count.
    pub(crate) fn is_voting(&self) -> bool {
        self.lock().is_voting()
    }

    fn follow_members(&self, membership: &Membership, now: Instant) {
        let mut register = self.lock();
        register.set_members(membership, now);
        register.expire(now);
        if membership.founder.as_ref() == Some(&self.me) && !register.is_voting() {
            register.accept_loss();
        }
    }

    /// Takes a message of a claim.
    fn take(&self, message: &ClaimMessage) -> RegisterAnswer {
        let now = Instant::now();
        let mut register = self.lock();
        match message {
            ClaimMessage::Claim(claim) => RegisterAnswer::Vote(register.claim(claim, now)),
            ClaimMessage::Settle(settled) => {
                register.settle(settled, now);
                RegisterAnswer::Received
            }
            ClaimMessage::Withdraw(withdrawn) => {
                if register.withdraw(withdrawn, now) {
                    RegisterAnswer::Received
                } else {
                    RegisterAnswer::Again
                }
            }
        }
    }
}

/// Takes a message of a peer's claim.
pub(super) fn answer_claim(shared: &Shared, message: &ClaimMessage) -> RegisterAnswer {
    shared
        .registry
        .follow_members(&shared.state().membership, Instant::now());
    shared.registry.take(message)
}

/// Gives a page of the register to a peer.
pub(super) fn answer_copy(shared: &Shared, question: &CopyQuestion) -> crate::once::CopyPage {
    shared.registry.lock().copy_out(question.after.as_ref(), Instant::now())
}

/// Claims a key and waits for the decision.
pub(crate) async fn claim_key(shared: &Arc<Shared>, spec: ClaimSpec) -> (ClaimOutcome, Option<WonClaim>) {
    let (decided, decision) = oneshot::channel();
    let (concluded, conclusion) = oneshot::channel();
    let claim = Claim::new(spec, &shared.state().membership);
    tokio::spawn(run_claim(Arc::clone(shared), claim, decided, conclusion));
    match decision.await {
        Ok(ClaimOutcome::Won) => (ClaimOutcome::Won, Some(WonClaim(Some(concluded)))),
        Ok(lost) => (lost, None),
        Err(_) => (
            ClaimOutcome::Unavailable {
                verdict: Verdict::MayHaveRun,
            },
            None,
        ),
    }
}

/// An answer of a member's register.
type Reply = (Instance, RegisterAnswer);

async fn run_claim(
    shared: Arc<Shared>,
    mut claim: Claim,
    decided: oneshot::Sender<ClaimOutcome>,
    conclusion: oneshot::Receiver<Conclusion>,
) {
    let (replies, mut inbox) = mpsc::channel(16);
    let mut decided = Some(decided);
    let mut conclusion = Some(conclusion);
    let mut ended = None;
    while !claim.is_done() {
        let now = Instant::now();
        if ended.is_some_and(|at| now >= at + SETTLE_LIMIT) {
            return;
        }
        claim.set_members(&shared.state().membership);
        if decided.as_ref().is_some_and(oneshot::Sender::is_closed) {
            claim.give_up();
        }
        for action in claim.tick(now) {
            send_action(&shared, action, &replies);
        }
        if let Some(outcome) = claim.outcome().cloned()
            && let Some(decided) = decided.take()
        {
            let won = outcome == ClaimOutcome::Won;
            let left = decided.send(outcome).is_err();
            if won && left {
                // The caller left before the request was sent.
                claim.conclude(Verdict::NotRun, None);
            }
            if !won || left {
                conclusion = None;
                ended = Some(now);
            }
        }
        tokio::select! {
            Some((from, answer)) = inbox.recv() => take_reply(&mut claim, &from, answer),
            end = wait_for_conclusion(&mut conclusion) => {
                let (verdict, answer) = end.unwrap_or((Verdict::MayHaveRun, None));
                claim.conclude(verdict, answer);
                conclusion = None;
                ended = Some(Instant::now());
            }
            () = sleep(CLAIM_TICK) => {}
        }
    }
}

async fn wait_for_conclusion(receiver: &mut Option<oneshot::Receiver<Conclusion>>) -> Option<Conclusion> {
    match receiver {
        Some(receiver) => receiver.await.ok(),
        None => std::future::pending().await,
    }
}

fn take_reply(claim: &mut Claim, from: &Instance, answer: RegisterAnswer) {
    match answer {
        RegisterAnswer::Vote(answer) => claim.answer(from, &answer),
        RegisterAnswer::Received => claim.acknowledge(from),
        RegisterAnswer::Again => {}
    }
}

fn send_action(shared: &Arc<Shared>, action: ClaimAction, replies: &mpsc::Sender<Reply>) {
    let ClaimAction { to, message } = action;
    let replies = replies.clone();
    if to == shared.me {
        let answer = answer_claim(shared, &message);
        // The channel holds more than the answers of one round of messages to this host.
        replies.try_send((to, answer)).ok();
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        if let Ok(answer) = shared.peers.claim_key(&to.host, message).await {
            replies.send((to, answer)).await.ok();
        }
    });
}

/// Copies the registers of other members until this host votes, as often as that is needed.
pub(super) async fn keep_register(shared: Arc<Shared>) {
    loop {
        sleep(COPY_TICK).await;
        shared
            .registry
            .follow_members(&shared.state().membership, Instant::now());
        let asks = shared.registry.lock().next_copies();
        for ask in asks {
            copy_page(&shared, ask).await;
        }
    }
}

async fn copy_page(shared: &Shared, ask: CopyAsk) {
    let question = CopyQuestion {
        after: ask.after.clone(),
    };
    if let Ok(page) = shared.peers.copy_register(&ask.source.host, question).await {
        shared.registry.lock().copy_in(&ask, &page, Instant::now());
    }
}
