/**
 * The replicated log of one controller: slots of entries on which a majority of the members agrees one after another,
 * and the control state that results from applying them. This module connects the components (replica, voter,
 * proposer, linearizable reads, catch-up, membership changes, bootstrap) and completes slots that a proposer left
 * undecided. Created by `controller.ts`. The guarantees, and why they hold, are described in docs/consistency.md.
 */
import { createEvents } from '../../base/events.js';
import type { Events } from '../../base/events.js';
import { ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, SlotBatch } from '../../protocol/messages.js';
import type { ClosedOrders } from '../../state/consensus/closed-orders.js';
import { memberId } from '../../state/consensus/control-state.js';
import type { ControlState, Outcome } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { RingError, RingShape } from '../../transport/ring.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import { createClosedOrdersFetch } from './closed-orders-fetch.js';
import type { ClosedOrdersFetch } from './closed-orders-fetch.js';
import { createCatchUp } from './catch-up.js';
import { createMemberStatuses, MEMBER_STATUS_INTERVAL_MS } from '../membership/member-statuses.js';
import type { ReceivedMemberStatus, MemberStatuses } from '../membership/member-statuses.js';
import { createMembershipChanges } from '../membership/membership-changes.js';
import type { LeaveOutcome } from '../membership/group-leave.js';
import type { MembershipChanges } from '../membership/membership-changes.js';
import { createOperatorBootstrap } from '../membership/operator-bootstrap.js';
import type { Bootstrap } from '../membership/operator-bootstrap.js';
import type { RequestMember } from './poll.js';
import type { CommittedEntry, EntryDraft, ProposeError } from './proposal.js';
import { createProposer } from './proposer.js';
import type { Proposer } from './proposer.js';
import { createReplica } from './replica.js';
import type { Replica } from './replica.js';
import { createSelfBootstrap } from '../membership/self-bootstrap.js';
import type { SelfBootstrap } from '../membership/self-bootstrap.js';
import { createLinearizableRead } from './linearizable-read.js';
import type { SnapshotSender } from './snapshot-sender.js';
import { snapshotBudget } from './snapshot-budget.js';
import { openStore } from './store.js';
import type { Store } from './store.js';
import { createVoter } from './voter.js';
import type { Voter } from './voter.js';
import type { RecentSlot } from '../../state/consensus/recent-slots.js';
import type { CatchUp } from './catch-up.js';

/** Events of the replicated log: a slot was applied, a snapshot was adopted, a member's status was received. */
export type LedgerEvents = {
  readonly folded: { readonly slot: number; readonly batch: Batch; readonly outcomes: readonly Outcome[] };
  readonly adopted: { readonly slot: number };
  readonly heard: ReceivedMemberStatus;
};

/** The replicated log of one controller, and the control state that results from applying it. */
export interface Ledger {
  controlState(): ControlState;
  readonly events: {
    readonly on: <K extends keyof LedgerEvents>(name: K, callback: (event: LedgerEvents[K]) => void) => void;
  };
  /** Commits one entry. After `noMajority` (the attempt was abandoned) it may still be committed, at most once. */
  propose(draft: EntryDraft, timeoutMs: number): Promise<Result<CommittedEntry, ProposeError>>;
  /** Resolves to true once the state includes everything confirmed before the call, or to false after `timeoutMs`. */
  linearizableRead(timeoutMs: number): Promise<boolean>;
  /** The closed orders that this controller knows. */
  readonly closedOrders: Pick<ClosedOrders, 'all' | 'lacking'>;
  /** The slots from `from` on that are kept in memory; null if the first of them is no longer kept. */
  since(from: number): readonly SlotBatch[] | null;
  /** What lagging nodes are sent: the kept slots page by page, or a snapshot. */
  readonly history: LedgerHistory;
  readonly bootstrap: Bootstrap;
  /**
   * Maximum size as JSON, in bytes: of a configuration with the changes that lead back from it, and of the draft of an
   * entry that changes it.
   */
  readonly most: { readonly configuration: number; readonly change: number };
  isMember(): boolean;
  writable(): boolean;
  /** The highest slot that is applied or has an accepted batch here. */
  top(): number;
  /** Monotonic time of the last contact with a member; null if there was none. */
  lastContactAt(id: string): number | null;
  requestMemberStatuses(): void;
  readonly self: Member;
  /**
   * Removes silent members above the group's target size. Resolves to true once none is left: an order may be
   * acknowledged only then.
   */
  removeSilentMembers(timeoutMs: number): Promise<boolean>;
  /** Leaves the group before this controller shuts down. */
  leave(withinMs: number): Promise<LeaveOutcome>;
  stop(): void;
}

/** Serves lagging nodes: pages of recent slots, or a snapshot. */
export type LedgerHistory = SnapshotSender & Pick<Store, 'page' | 'bytesSince'>;

/** The dependencies of a ledger. */
export type LedgerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly disk: Disk;
  readonly log: Log;
  readonly shape: RingShape;
  readonly self: Member;
  /** Addresses of controllers known from outside the log: seeds, and those learned from the membership protocol. */
  readonly knownAddresses: () => Iterable<Address>;
  readonly seeds: readonly Address[];
  readonly bootstrapMembers: readonly Address[] | null;
  /** Switches to a new incarnation. */
  readonly renewIncarnation: () => Promise<boolean>;
  readonly keepsClaims: boolean;
  /** The number of members that the group is meant to have; see `target-size.ts`. */
  readonly targetSize: number;
  readonly wasMember: boolean | null;
  /** Stores on disk that this controller is a member. */
  readonly recordMembership: () => Promise<boolean>;
};

/** Timeout of a request to one member. Once a majority has responded, the remaining members are not waited for. */
const VOTE_TIMEOUT_MS = 1_000;
/** A member that holds an accepted but undecided slot for longer than this runs a ballot on it itself. */
const OPEN_SLOT_TIMEOUT_MS = 1_000;
/** Space reserved in a file of the ring log for the data that surrounds an entry in its record. */
const RECORD_OVERHEAD_BYTES = 4_096;
/** Space reserved in an entry for its id, author and times. */
const ENTRY_OVERHEAD_BYTES = 1_024;

/** Opens the ledger on a disk. The error states why the disk can't be used. */
export async function createLedger(deps: LedgerDeps): Promise<Result<Ledger, RingError>> {
  const events = createEvents<LedgerEvents>();
  function onFold(slot: number, batch: Batch, outcomes: readonly Outcome[]): void {
    events.emit('folded', { slot, batch, outcomes });
  }
  function onAdopt(): void {
    events.emit('adopted', { slot: store.controlState().slot });
  }
  const opened = await openStore(deps.disk, deps.shape, onFold, onAdopt);
  if (!opened.ok) return opened;
  const store = opened.value;
  return ok(new ReplicatedLedger(deps, store, events));
}

class ReplicatedLedger implements Ledger {
  private stopped = false;
  private readonly replica: Replica;
  private readonly closedOrdersFetch: ClosedOrdersFetch;
  private readonly voter: Voter;
  private readonly proposer: Proposer;
  readonly linearizableRead: (timeoutMs: number) => Promise<boolean>;
  readonly bootstrap: Bootstrap;
  private slotOpenSince: number | null = null;
  private isMaintaining = false;
  private readonly memberStatuses: MemberStatuses;
  private readonly membershipChanges: MembershipChanges;
  private readonly selfBootstrap: SelfBootstrap;
  private readonly heartbeatTimer: Timer;
  readonly closedOrders: ClosedOrders;
  readonly history: LedgerHistory;
  readonly self: Member;
  readonly most: Ledger['most'];
  private readonly catchUp: CatchUp;

  constructor(
    private readonly deps: LedgerDeps,
    private readonly store: Store,
    readonly events: Events<LedgerEvents>,
  ) {
    this.self = deps.self;
    this.most = {
      configuration: snapshotBudget(deps.shape).configuration,
      change: deps.shape.fileBytes - RECORD_OVERHEAD_BYTES - ENTRY_OVERHEAD_BYTES,
    };
    this.replica = createReplica(this.store, this.deps.self, this.deps.clock, this.deps.log);
    this.closedOrdersFetch = createClosedOrdersFetch({
      peers: this.deps.peers,
      clock: this.deps.clock,
      log: this.deps.log,
      self: this.deps.self,
      controlState: () => this.replica.controlState(),
      closed: this.store.closed,
      put: (command) => this.store.put(command),
    });

    this.catchUp = createCatchUp({
      peers: this.deps.peers,
      clock: this.deps.clock,
      log: this.deps.log,
      store: this.store,
      controlState: () => this.replica.controlState(),
      learn: (slot, batch) => this.replica.learn(slot, batch),
    });
    this.voter = createVoter({
      clock: this.deps.clock,
      peers: this.deps.peers,
      replica: this.replica,
      catchUp: (address) => this.catchUp.from(address),
      bootstrapLedgerName: () => this.bootstrapLedgerName(),
    });

    this.proposer = this.makeProposer();
    this.linearizableRead = createLinearizableRead({
      clock: this.deps.clock,
      replica: this.replica,
      proposer: this.proposer,
      requesterUntil: (deadline) => this.requesterUntil(deadline),
      catchUp: (address) => this.catchUp.from(address),
    });

    const bootstrapsItself = this.deps.bootstrapMembers !== null;
    this.bootstrap = createOperatorBootstrap({
      clock: this.deps.clock,
      rng: this.deps.rng,
      peers: this.deps.peers,
      replica: this.replica,
      bootstrapsItself,
    });
    this.memberStatuses = this.makeMemberStatuses();

    this.deps.peers.on('memberStatusAsk', () => this.memberStatuses.ownStatus());
    this.membershipChanges = this.makeMembershipChanges();
    this.selfBootstrap = this.makeSelfBootstrap();
    this.heartbeatTimer = every(this.deps.clock, MEMBER_STATUS_INTERVAL_MS, () => this.heartbeat());

    this.heartbeat();
    this.closedOrders = this.store.closed;
    this.history = {
      offer: (view, slot) => this.catchUp.snapshots.offer(view, slot),
      page: (from, maxBytes) => this.store.page(from, maxBytes),
      bytesSince: (from) => this.store.bytesSince(from),
    };
  }

  private makeMemberStatuses(): MemberStatuses {
    return createMemberStatuses({
      clock: this.deps.clock,
      peers: this.deps.peers,
      self: this.deps.self,
      controlState: () => this.replica.controlState(),
      top: () => this.store.top(),
      writable: () => this.store.writable(),
      onMemberStatus: (received) => this.onMemberStatus(received),
    });
  }

  private makeMembershipChanges(): MembershipChanges {
    return createMembershipChanges({
      clock: this.deps.clock,
      rng: this.deps.rng,
      peers: this.deps.peers,
      log: this.deps.log,
      self: this.deps.self,
      contacts: this.deps.knownAddresses,
      seeds: this.deps.seeds,
      controlState: () => this.replica.controlState(),
      memberStatuses: this.memberStatuses,
      propose: (draft, timeoutMs) => this.proposer.propose(draft, timeoutMs),
      linearizableRead: this.linearizableRead,
      catchUp: (address) => this.catchUp.from(address),
      renewIncarnation: this.deps.renewIncarnation,
      wasMember: this.deps.wasMember,
      recordMembership: this.deps.recordMembership,
      mayShrinkOddGroup: !this.deps.keepsClaims,
      targetSize: this.deps.targetSize,
    });
  }

  private makeSelfBootstrap(): SelfBootstrap {
    return createSelfBootstrap({
      clock: this.deps.clock,
      rng: this.deps.rng,
      peers: this.deps.peers,
      log: this.deps.log,
      self: this.deps.self,
      bootstrapMembers: this.deps.bootstrapMembers,
      ledgerName: () => this.ledgerName(),
      requestVote: this.requesterUntil(Infinity),
      learnSlotZero: (batch) => this.learnSlotZero(batch),
      onLedgerFound: () => this.heartbeat(),
    });
  }

  private makeProposer(): Proposer {
    return createProposer({
      clock: this.deps.clock,
      rng: this.deps.rng,
      peers: this.deps.peers,
      replica: this.replica,
      requesterUntil: (deadline) => this.requesterUntil(deadline),
      catchUp: (address) => this.catchUp.from(address),
      maxBatchBytes: this.deps.shape.fileBytes - RECORD_OVERHEAD_BYTES,
    });
  }

  controlState(): ControlState {
    return this.replica.controlState();
  }

  isMember(): boolean {
    return this.replica.isMember();
  }

  propose(draft: EntryDraft, timeoutMs: number): Promise<Result<CommittedEntry, ProposeError>> {
    return this.proposer.propose(draft, timeoutMs);
  }

  private bootstrapLedgerName(): string | null {
    return this.selfBootstrap.bootstrapLedgerName;
  }

  /**
   * Sends requests to members until `deadline`. A response counts only if it carries the identity that the log has
   * for the member: a controller with a blank disk responds at the same address, but under another identity.
   */
  private requesterUntil(deadline: number): RequestMember {
    const requestMember = async (member: Member, message: Message): Promise<Message | null> => {
      const id = memberId(member);
      if (id === this.replica.id()) return this.respondLocally(message);
      const reply = await this.deps.peers.call(
        member.address,
        message,
        Math.min(VOTE_TIMEOUT_MS, deadline - this.deps.clock.mono()),
      );
      if (!reply.ok) return null;
      return 'voter' in reply.value && reply.value.voter !== id ? null : reply.value;
    };
    return requestMember;
  }

  private respondLocally(message: Message): Promise<Message> | Message {
    return message.kind === 'prepare' || message.kind === 'accept'
      ? this.voter.onVoteRequest(message)
      : this.memberStatuses.ownStatus();
  }

  private areAllSlotsApplied(): boolean {
    return this.store.top() <= this.replica.controlState().slot;
  }

  /** Retries failed writes, proposes due membership changes, and completes a slot that stays undecided for too long. */
  private async maintain(): Promise<void> {
    await this.replica.repair();
    await this.membershipChanges.tick();
    const now = this.deps.clock.mono();
    if (!this.replica.isMember() || this.areAllSlotsApplied()) this.slotOpenSince = null;
    else this.slotOpenSince ??= now;
    if (this.slotOpenSince === null || now - this.slotOpenSince <= OPEN_SLOT_TIMEOUT_MS) return;
    this.slotOpenSince = null;
    await this.proposer.finishOpenSlots(now + VOTE_TIMEOUT_MS, () => this.areAllSlotsApplied());
  }

  /** Does nothing while the previous run is still in progress. */
  private async maintainOnce(): Promise<void> {
    if (this.isMaintaining) return;
    this.isMaintaining = true;
    await this.maintain();
    this.isMaintaining = false;
  }

  private heartbeat(): void {
    if (this.stopped) return;
    this.memberStatuses.requestAll();
    void this.maintainOnce();
  }

  private onMemberStatus(received: ReceivedMemberStatus): void {
    if (received.memberStatus.learned > this.replica.controlState().slot)
      void this.catchUp.from(received.memberStatus.address);
    this.events.emit('heard', received);
  }

  private ledgerName(): string {
    return this.replica.controlState().ledger;
  }

  private learnSlotZero(batch: Batch): Promise<void> {
    return this.replica.learn(0, batch);
  }

  stop(): void {
    this.stopped = true;
    this.selfBootstrap.stop();
    this.heartbeatTimer.cancel();
    this.closedOrdersFetch.stop();
  }

  since(from: number): readonly RecentSlot[] | null {
    return this.store.recent(from);
  }

  writable(): boolean {
    return this.store.writable();
  }

  top(): number {
    return this.store.top();
  }

  lastContactAt(id: string): number | null {
    return this.memberStatuses.lastContactAt(id);
  }

  requestMemberStatuses(): void {
    this.memberStatuses.requestAll();
  }

  removeSilentMembers(timeoutMs: number): Promise<boolean> {
    return this.membershipChanges.removeSilentMembers(timeoutMs);
  }

  leave(withinMs: number): Promise<LeaveOutcome> {
    return this.membershipChanges.leave(withinMs);
  }
}
