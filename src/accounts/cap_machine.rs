//! Usage caps over the fleet, free of I/O and clocks.
//!
//! Each node owns an equal share of every cap and delegates it, slot by slot, to the keeper of the slot for a short
//! time. A keeper grants tokens against the shares that it holds; an entry node admits a call with a token. A node
//! delegates to another keeper only when the earlier delegation has certainly ended, so the sum of what all keepers
//! grant stays within the cap whichever messages are lost or late. `docs/design/usage-caps.md` describes the protocol.
//!
//! All times are by this node's clock, which counts suspensions of the machine.

use {
    super::{
        cap_delegation::{SlotDelegation, delegation_life, renewal_period},
        cap_fleet::CapFleet,
        cap_keeper::{CapKeeper, ShareDelegation},
        cap_stock::{CapStock, TokenDecision},
        cap_terms::{AccountDigest, CAP_SLOTS, CapTerms, slot_of},
        keeper_contact::{DelegationEnd, KeeperContact, KeeperReading},
        usage_bucket::BucketGrant,
    },
    crate::{
        ids::NodeId,
        wire::{CapAnswer, CapAsk, TokenGrant, TokenNeed},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
    tracing::debug,
};

/// Candidates for the keeper of a slot, in the order of their rank. If all are silent, a node is its own keeper.
pub const KEEPER_CANDIDATES: usize = 2;

/// Most accounts in one request, so that it fits in a packet.
pub const MAX_NEEDS: usize = 40;

/// Time for which a late answer to a request is still accepted.
const ASK_LIFE: Duration = Duration::from_secs(1);

/// Longest time for which a granted token may be used, over all accounts; see `CapTerms::token_life`.
const MAX_TOKEN_LIFE: Duration = Duration::from_millis(500);

/// Message to the keeper of a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAsk {
    /// Node to send the message to.
    pub keeper: NodeId,
    /// Number of the message, which its answer repeats; grows with each message, also over a restart.
    pub number: u64,
    /// The message.
    pub ask: CapAsk,
}

/// Fleet as the membership shows it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Number of nodes that are not known to have ended, see `cap_fleet::NodeCensus`.
    pub nodes: usize,
    /// Whether the rows of the store have been read since the start.
    pub has_rows: bool,
    /// Whether this node is leaving.
    pub is_leaving: bool,
    /// For each slot the first `KEEPER_CANDIDATES` live nodes by rank.
    pub keepers: Vec<Vec<NodeId>>,
}

/// Message that was sent and not answered yet.
#[derive(Clone, Debug)]
struct SentAsk {
    slot: usize,
    keeper: NodeId,
    sent_at: Duration,
    needs: Vec<TokenNeed>,
    release: bool,
    /// Whether the needs were given up, so that they are requested again.
    given_up: bool,
}

/// What a node sends next for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotStep {
    /// Requests tokens only.
    Request,
    /// Delegates the share, or renews the delegation.
    Delegate,
    /// Asks for the share back.
    Release,
}

/// Usage caps of one node: as entry node, as owner of a share and as keeper.
#[derive(Debug)]
pub struct CapMachine {
    own: NodeId,
    clock_id: u64,
    last_number: u64,
    fleet: CapFleet,
    keepers: Vec<Vec<NodeId>>,
    keeper: CapKeeper,
    delegations: [SlotDelegation; CAP_SLOTS],
    contacts: HashMap<NodeId, KeeperContact>,
    probed_at: HashMap<NodeId, Duration>,
    stocks: BTreeMap<AccountDigest, CapStock>,
    sent: BTreeMap<u64, SentAsk>,
    granted: u64,
}

impl CapMachine {
    /// Returns the machine of a node that starts now. `epoch` grows with each start of the node, in milliseconds.
    pub fn new(own: NodeId, epoch: u64, now: Duration) -> Self {
        let reading = KeeperReading {
            clock_id: epoch,
            clock: now,
            read_at: now,
        };
        let mut contact = KeeperContact::default();
        contact.record_answer(reading, now);
        Self {
            contacts: HashMap::from([(own.clone(), contact)]),
            own,
            clock_id: epoch,
            // Leaves room for a million messages a second until the next start.
            last_number: epoch.saturating_mul(1000),
            fleet: CapFleet::new(now),
            keepers: vec![Vec::new(); CAP_SLOTS],
            keeper: CapKeeper::default(),
            delegations: Default::default(),
            probed_at: HashMap::new(),
            stocks: BTreeMap::new(),
            sent: BTreeMap::new(),
            granted: 0,
        }
    }

    /// Replaces the caps of all accounts.
    pub fn set_caps(&mut self, caps: &[(AccountDigest, CapTerms)], now: Duration) {
        self.keeper.set_caps(caps, now);
        let mut previous = std::mem::take(&mut self.stocks);
        for (account, terms) in caps {
            let known = previous.remove(account);
            let mut stock = known.unwrap_or_else(|| CapStock::new(*terms));
            stock.set_terms(*terms);
            self.stocks.insert(*account, stock);
        }
    }

    /// Takes over a new view of the fleet.
    pub fn set_fleet(&mut self, view: FleetView, now: Duration) {
        self.fleet
            .update(view.nodes, view.has_rows, view.is_leaving, now);
        self.keeper.set_nodes(self.fleet.nodes());
        self.keepers = view.keepers;
        self.keepers.resize(CAP_SLOTS, Vec::new());
    }

    /// Returns whether any account has a cap.
    pub fn has_caps(&self) -> bool {
        !self.stocks.is_empty()
    }

    /// Returns the number of tokens that this node has granted as a keeper.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the fraction of the caps of a slot that this node holds as a keeper.
    pub fn held_share(&mut self, slot: usize, now: Duration) -> f64 {
        self.keeper.share(slot, now)
    }

    /// Counts a call that begins to wait for a token; returns false if its account has no cap.
    pub fn begin(&mut self, account: AccountDigest, now: Duration) -> bool {
        let stock = self.stocks.get_mut(&account);
        stock.map(|stock| stock.begin(now)).is_some()
    }

    /// Counts a call that no longer waits, whatever its outcome.
    pub fn end(&mut self, account: AccountDigest) {
        if let Some(stock) = self.stocks.get_mut(&account) {
            stock.end();
        }
    }

    /// Takes a token for a waiting call; none if the account has no cap any more.
    pub fn take(&mut self, account: AccountDigest, now: Duration) -> Option<TokenDecision> {
        self.stocks.get_mut(&account).map(|stock| stock.take(now))
    }

    /// Takes back the token of a call that has certainly not run.
    pub fn give_back(&mut self, account: AccountDigest, expires: Duration, now: Duration) {
        if let Some(stock) = self.stocks.get_mut(&account) {
            stock.give_back(expires, now);
        }
    }

    /// Returns the messages that are due: requests for tokens, delegations, renewals and releases.
    pub fn poll(&mut self, now: Duration) -> Vec<OutgoingAsk> {
        let mut output = Vec::new();
        self.give_up_asks(now);
        if !self.has_caps() {
            return output;
        }
        let mut needs = self.collect_needs(now);
        for (slot, needs) in needs.iter_mut().enumerate() {
            self.poll_slot(slot, std::mem::take(needs), now, &mut output);
        }
        self.probe_silent(now, &mut output);
        output
    }

    /// Answers a message to this node as the keeper; none if the message is invalid.
    pub fn answer(
        &mut self,
        from: &str,
        number: u64,
        ask: &CapAsk,
        now: Duration,
    ) -> Option<CapAnswer> {
        let slot = usize::try_from(ask.slot)
            .ok()
            .filter(|slot| *slot < CAP_SLOTS)?;
        if ask.ends_ms > 0 && ask.clock_id == self.clock_id {
            let delegation = ShareDelegation {
                number,
                nodes: ask.nodes as usize,
                ends: Duration::from_millis(ask.ends_ms),
            };
            self.keeper.hold(slot, from, delegation, now);
        }
        let released = ask.release && self.keeper.release(slot, from, number, now);
        let needs = ask.needs.iter().take(MAX_NEEDS);
        let needs = needs.filter(|need| slot_of(need.account) == slot);
        let grants = needs
            .map(|need| {
                let grant = self.keeper.grant(need.account, need.tokens, now);
                self.granted += u64::from(grant.tokens);
                token_grant(need.account, grant)
            })
            .collect();
        Some(CapAnswer {
            slot: ask.slot,
            clock_id: self.clock_id,
            clock_ms: now.as_millis() as u64,
            nodes: self.fleet.counted() as u32,
            released,
            holds_share: self.keeper.share(slot, now) > 0.0,
            grants,
        })
    }

    /// Takes over an answer to a message of this node. A second answer to one message is ignored.
    pub fn take_answer(&mut self, from: &str, number: u64, answer: &CapAnswer, now: Duration) {
        if self
            .sent
            .get(&number)
            .is_none_or(|sent| sent.keeper != from)
        {
            return;
        }
        let Some(sent) = self.sent.remove(&number) else {
            return;
        };
        let reading = KeeperReading {
            clock_id: answer.clock_id,
            clock: Duration::from_millis(answer.clock_ms),
            read_at: now,
        };
        let contact = self.contacts.entry(from.to_owned()).or_default();
        let is_new_clock = contact.clock_id() != Some(answer.clock_id);
        contact.record_answer(reading, sent.sent_at);
        if from != self.own {
            self.fleet.report(from, answer.nodes as usize, now);
            self.keeper.set_nodes(self.fleet.nodes());
        }
        if is_new_clock {
            // A restarted keeper holds nothing, and a new one could not be given a share yet.
            for delegation in &mut self.delegations {
                delegation.hasten();
            }
        }
        if sent.release && answer.released {
            self.delegations[sent.slot].end(from);
        }
        let period = renewal_period(self.fleet.nodes());
        self.delegations[sent.slot].hasten_renewal(from, period, now);
        self.take_grants(&sent, answer, now);
    }

    fn take_grants(&mut self, sent: &SentAsk, answer: &CapAnswer, now: Duration) {
        for need in &sent.needs {
            let Some(stock) = self.stocks.get_mut(&need.account) else {
                continue;
            };
            if !sent.given_up {
                stock.forget_asked(need.tokens);
            }
            let mut grants = answer.grants.iter();
            if let Some(grant) = grants.find(|grant| grant.account == need.account) {
                let grant = BucketGrant {
                    tokens: grant.tokens.min(need.tokens),
                    wait: Duration::from_millis(u64::from(grant.wait_ms)),
                };
                stock.record_grant(grant, sent.sent_at, answer.holds_share, now);
            }
        }
    }

    fn poll_slot(
        &mut self,
        slot: usize,
        needs: Vec<TokenNeed>,
        now: Duration,
        output: &mut Vec<OutgoingAsk>,
    ) {
        let desired = self.choose_keeper(slot, now);
        let owns = self.owns_share(now);
        let holder = self.delegations[slot].holder(now).cloned();
        let (keeper, step) = match holder {
            Some(holder) if holder == desired && owns => (desired, SlotStep::Delegate),
            Some(holder) if !self.is_silent(&holder, now) => (holder, SlotStep::Release),
            Some(_) => (desired, SlotStep::Request),
            None if owns => (desired, SlotStep::Delegate),
            None => (desired, SlotStep::Request),
        };
        let is_due = step != SlotStep::Request && self.is_due(slot, &keeper, step, now);
        if needs.is_empty() && !is_due {
            return;
        }
        let step = match is_due {
            true => step,
            false => SlotStep::Request,
        };
        let ask = self.build_ask(slot, &keeper, step, needs, now);
        self.send(keeper, ask, now, output);
    }

    fn build_ask(
        &mut self,
        slot: usize,
        keeper: &NodeId,
        step: SlotStep,
        needs: Vec<TokenNeed>,
        now: Duration,
    ) -> CapAsk {
        let end = match step {
            SlotStep::Delegate => self.delegate(slot, keeper, now),
            SlotStep::Release | SlotStep::Request => None,
        };
        if step != SlotStep::Request {
            self.delegations[slot].record_sent(now);
        }
        CapAsk {
            slot: slot as u32,
            nodes: self.fleet.nodes() as u32,
            clock_id: end.map_or(0, |end| end.clock_id),
            ends_ms: end.map_or(0, |end| end.ends.as_millis() as u64),
            release: step == SlotStep::Release,
            needs,
        }
    }

    /// Records the delegation of a slot to a keeper; none if that is not allowed yet or its clock is not known.
    ///
    /// A keeper that owes an answer gets no renewal: if it has ended, its delegation must end soon.
    fn delegate(&mut self, slot: usize, keeper: &NodeId, now: Duration) -> Option<DelegationEnd> {
        let delegation = &mut self.delegations[slot];
        if !delegation.may_delegate(keeper, now) {
            return None;
        }
        let contact = self.contacts.get(keeper)?;
        let is_renewal = delegation.holder(now).is_some();
        if is_renewal && contact.awaits_answer() {
            return None;
        }
        let end = contact.delegation_end(delegation_life(self.fleet.nodes()), now)?;
        if !is_renewal {
            debug!(node = %self.own, slot, keeper = %keeper, "share of usage caps delegated");
        }
        delegation.delegate(keeper, end.ended_by, now);
        Some(end)
    }

    fn send(&mut self, keeper: NodeId, ask: CapAsk, now: Duration, output: &mut Vec<OutgoingAsk>) {
        self.last_number += 1;
        let number = self.last_number;
        self.contacts
            .entry(keeper.clone())
            .or_default()
            .record_sent(now);
        let sent = SentAsk {
            slot: ask.slot as usize,
            keeper: keeper.clone(),
            sent_at: now,
            needs: ask.needs.clone(),
            release: ask.release,
            given_up: false,
        };
        self.sent.insert(number, sent);
        if keeper != self.own {
            output.push(OutgoingAsk {
                keeper,
                number,
                ask,
            });
            return;
        }
        if let Some(answer) = self.answer(&keeper, number, &ask, now) {
            self.take_answer(&keeper, number, &answer, now);
        }
    }

    /// Sends a message without content to each silent candidate once in a renewal period, so that it is used again when
    /// it answers.
    fn probe_silent(&mut self, now: Duration, output: &mut Vec<OutgoingAsk>) {
        let period = renewal_period(self.fleet.nodes());
        for slot in 0..CAP_SLOTS {
            for keeper in self.keepers[slot].clone() {
                let probed_at = self.probed_at.get(&keeper);
                let is_due = probed_at.is_none_or(|at| now.saturating_sub(*at) >= period);
                if is_due && keeper != self.own && self.is_silent(&keeper, now) {
                    self.probed_at.insert(keeper.clone(), now);
                    let ask = self.build_ask(slot, &keeper, SlotStep::Request, Vec::new(), now);
                    self.send(keeper, ask, now, output);
                }
            }
        }
    }

    /// Returns the first candidate that is not silent, or this node itself.
    fn choose_keeper(&self, slot: usize, now: Duration) -> NodeId {
        let candidates = self.keepers[slot].iter().take(KEEPER_CANDIDATES);
        let mut usable = candidates.filter(|node| !self.is_silent(node, now));
        usable.next().unwrap_or(&self.own).clone()
    }

    fn is_silent(&self, node: &str, now: Duration) -> bool {
        let contact = self.contacts.get(node);
        node != self.own && contact.is_some_and(|contact| contact.is_silent(now))
    }

    fn owns_share(&self, now: Duration) -> bool {
        let previous_life = delegation_life(self.fleet.nodes()) + MAX_TOKEN_LIFE;
        self.fleet.owns_share(previous_life, now)
    }

    fn is_due(&self, slot: usize, keeper: &str, step: SlotStep, now: Duration) -> bool {
        let contact = self.contacts.get(keeper).copied().unwrap_or_default();
        let is_awaited = contact.awaits_answer() && !contact.is_silent(now);
        let period = match is_awaited || step == SlotStep::Release {
            true => contact.retry_after() * 2,
            false => renewal_period(self.fleet.nodes()),
        };
        self.delegations[slot].is_due(period, now)
    }

    fn collect_needs(&mut self, now: Duration) -> [Vec<TokenNeed>; CAP_SLOTS] {
        let mut needs: [Vec<TokenNeed>; CAP_SLOTS] = Default::default();
        for (account, stock) in &mut self.stocks {
            let tokens = stock.shortfall(now);
            let needs = &mut needs[slot_of(*account)];
            if tokens > 0 && needs.len() < MAX_NEEDS {
                stock.record_asked(tokens);
                needs.push(TokenNeed {
                    account: *account,
                    tokens,
                });
            }
        }
        needs
    }

    /// Gives up the needs of messages that should have been answered by now, and forgets old messages.
    fn give_up_asks(&mut self, now: Duration) {
        for sent in self.sent.values_mut() {
            let contact = self.contacts.get(&sent.keeper);
            let retry_after = contact.copied().unwrap_or_default().retry_after();
            if sent.given_up || now.saturating_sub(sent.sent_at) < retry_after {
                continue;
            }
            sent.given_up = true;
            for need in &sent.needs {
                if let Some(stock) = self.stocks.get_mut(&need.account) {
                    stock.forget_asked(need.tokens);
                }
            }
        }
        self.sent
            .retain(|_, sent| now.saturating_sub(sent.sent_at) < ASK_LIFE);
    }
}

fn token_grant(account: AccountDigest, grant: BucketGrant) -> TokenGrant {
    TokenGrant {
        account,
        tokens: grant.tokens,
        wait_ms: grant.wait.as_micros().div_ceil(1000) as u32,
    }
}
