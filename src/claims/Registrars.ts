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

/** The registrars of batches, of which this entry is one: how they are chosen, asked, and what is noted here. */
export default class Registrars {
  readonly peers: ClaimPeers;

  private readonly register: ClaimRegistry;

  private lastNumber = 0;

  private constructor(
    timer: TimerService,
    private readonly self: Self,
    seen: () => readonly SeenEntry[] | undefined,
  ) {
    this.peers = ClaimPeers.create(timer, seen);
    this.register = ClaimRegistry.create(timer, ({ incarnation }) => this.isOver(incarnation));
  }

  /** Creates those of an entry that is not linked to others; `seen` returns entries that sidecars know to be awake. */
  static create(
    timer: TimerService,
    self: Self,
    seen: () => readonly SeenEntry[] | undefined,
  ): Registrars {
    return new Registrars(timer, self, seen);
  }

  /** The newest claim of this entry. */
  get newestClaim(): BatchHolder {
    const { instance, incarnation } = this.self;
    return create(BatchHolderSchema, { instance, incarnation, claim: this.lastNumber });
  }

  /** The next number for a claim or a question. */
  nextNumber(): number {
    this.lastNumber += 1;
    return this.lastNumber;
  }

  /** The registrars of a batch by name, the first one first, with this entry among the members. */
  choose(batch: string, members: ReadonlyMap<string, unknown>): readonly string[] {
    return chooseRegistrars(batch, [this.self.instance, ...members.keys()]);
  }

  /** Claims a batch at a registrar; resolves to nothing when it is out of reach. */
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

  /** Notes a claim of an entry here, or tells whose claim stands. */
  recordClaim({ instance, incarnation }: Self, claim: ClaimBatch): BatchClaimed {
    const { batch, number, keptMs, past } = claim;
    const claimant = create(BatchHolderSchema, { instance, incarnation, claim: number });
    const holder = this.register.claim(batch, claimant, keptMs, past);
    if (!holder) return create(BatchClaimedSchema, { number });
    const goneMs = this.goneMs(holder.incarnation);
    const silentMs = Math.round(this.peers.findByIncarnation(holder.incarnation)?.silentMs ?? 0);
    const rounded = goneMs === undefined ? undefined : Math.round(goneMs);
    return create(BatchClaimedSchema, { number, holder, goneMs: rounded, silentMs });
  }

  /** How long ago the last link to a process ended, ms; undefined while it is linked, or not known to be gone. */
  goneMs(incarnation: string): number | undefined {
    return incarnation === this.self.incarnation ? undefined : this.peers.goneMs(incarnation);
  }

  private isOver(incarnation: string): boolean {
    return incarnation !== this.self.incarnation && this.peers.haveRunsEnded(incarnation);
  }
}
