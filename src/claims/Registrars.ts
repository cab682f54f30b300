import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import {
  type BatchClaimed,
  BatchClaimedSchema,
  type BatchHolder,
  BatchHolderSchema,
  type ClaimBatch,
  ClaimBatchSchema,
  type Hello,
  type SeenEntry,
} from '../gen/magnoliakeel/v1/peer_pb';
import type ClaimPeer from './ClaimPeer';
import ClaimPeers from './ClaimPeers';
import ClaimRegistry from './ClaimRegistry';
import type LocalClaim from './LocalClaim';
import chooseRegistrars from './chooseRegistrars';

type Self = Pick<Hello, 'instance' | 'incarnation'>;

/** Chooses the registrars of batches and requests claims from them; also records claims, as a registrar itself. */
export default class Registrars {
  readonly peers: ClaimPeers;

  private readonly registry: ClaimRegistry;

  private lastNumber = 0;

  private constructor(
    timer: TimerService,
    private readonly self: Self,
    liveEntries: () => readonly SeenEntry[] | undefined,
  ) {
    this.peers = ClaimPeers.create(timer, liveEntries);
    this.registry = ClaimRegistry.create(timer, ({ incarnation }) =>
      this.haveRunsEnded(incarnation),
    );
  }

  /** Creates it for an entry without links; `liveEntries` returns the entries that sidecars know to be alive. */
  static create(
    timer: TimerService,
    self: Self,
    liveEntries: () => readonly SeenEntry[] | undefined,
  ): Registrars {
    return new Registrars(timer, self, liveEntries);
  }

  /** The newest claim of this entry. */
  get newestClaim(): BatchHolder {
    const { instance, incarnation } = this.self;
    return create(BatchHolderSchema, { instance, incarnation, claim: this.lastNumber });
  }

  /** The next number for a claim or a follow request. */
  nextNumber(): number {
    this.lastNumber += 1;
    return this.lastNumber;
  }

  /** The registrars of a batch by instance, in order of preference, chosen among `members` and this entry. */
  choose(batch: string, members: ReadonlyMap<string, unknown>): readonly string[] {
    return chooseRegistrars(batch, [this.self.instance, ...members.keys()]);
  }

  /** Requests a claim from a registrar, which may be this entry; resolves to undefined when it is unreachable. */
  async requestClaim(
    entry: string,
    peer: ClaimPeer | undefined,
    claim: LocalClaim,
  ): Promise<BatchClaimed | undefined> {
    const { batch, number, keptMs } = claim;
    const past = [...claim.endedClaims.values()];
    const value = create(ClaimBatchSchema, { batch, number, keptMs, past });
    const isOwn = entry === this.self.instance;
    if (isOwn || peer) claim.registrars.add(entry);
    return isOwn ? this.recordClaim(this.self, value) : peer?.requestClaim(value);
  }

  /** Records a claim of an entry here, or returns the holder of a valid claim. */
  recordClaim({ instance, incarnation }: Self, claim: ClaimBatch): BatchClaimed {
    const { batch, number, keptMs, past } = claim;
    const claimant = create(BatchHolderSchema, { instance, incarnation, claim: number });
    const holder = this.registry.claim(batch, claimant, keptMs, past);
    if (!holder) return create(BatchClaimedSchema, { number });
    const goneMs = this.goneMs(holder.incarnation);
    const silentMs = Math.round(this.peers.byProcess(holder.incarnation)?.silentMs ?? 0);
    const roundedGoneMs = goneMs === undefined ? undefined : Math.round(goneMs);
    return create(BatchClaimedSchema, { number, holder, goneMs: roundedGoneMs, silentMs });
  }

  /** How long ago the last link to a process ended, ms; undefined while it is linked, or not known to be gone. */
  goneMs(incarnation: string): number | undefined {
    return incarnation === this.self.incarnation ? undefined : this.peers.goneMs(incarnation);
  }

  private haveRunsEnded(incarnation: string): boolean {
    return incarnation !== this.self.incarnation && this.peers.haveRunsEnded(incarnation);
  }
}
