import { create } from '@bufbuild/protobuf';
import type SidecarPeer from '../dispatch/SidecarPeer';
import {
  type JobRecord,
  type RosterItem,
  RosterSchema,
  type Settlement,
  SettlementSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';
import type RosterBroadcasterOptions from './RosterBroadcasterOptions';

/**
 * Reports to the other entries which sidecars have linked to this entry or ended,
 * and that it has settled the loss of a sidecar, so that its successor can rely on
 * it.
 */
export default class RosterBroadcaster {
  private constructor(private readonly options: RosterBroadcasterOptions) {}

  /** Creates the broadcaster of an entry. */
  static create(options: RosterBroadcasterOptions): RosterBroadcaster {
    return new RosterBroadcaster(options);
  }

  /** Reports that a sidecar has linked; an earlier settlement of its loss is revoked. */
  sidecarLinked(peer: SidecarPeer): void {
    this.broadcastSighting(peer, false);
    const { recovery, self } = this.options;
    if (recovery.settlements.has(peer.incarnation, self))
      this.broadcastSettlement(peer.incarnation, [], true);
  }

  /** Reports that a sidecar has ended, once all its tasks here are settled. */
  sidecarEnded(peer: SidecarPeer): void {
    this.broadcastSettlement(
      peer.incarnation,
      this.options.jobKeysOnSidecar(peer.incarnation),
      false,
    );
    this.broadcastSighting(peer, true);
  }

  /**
   * Updates settlements after records were imported from a leaving entry: sidecars
   * whose loss was settled before may have had tasks of these jobs.
   */
  recordsImported(records: readonly JobRecord[]): void {
    const { recovery, self, jobKeysOnSidecar } = this.options;
    [...new Set(records.flatMap(({ sidecars }) => sidecars))]
      .filter((sidecar) => recovery.settlements.has(sidecar, self))
      .forEach((sidecar) => this.broadcastSettlement(sidecar, jobKeysOnSidecar(sidecar), false));
  }

  /** Refutes reports that a sidecar has ended if it is linked here. */
  refuteEnded(items: readonly RosterItem[]): void {
    const { linkedPeer } = this.options;
    items
      .filter((item) => item.ended)
      .map((item) => linkedPeer(item.incarnation))
      .forEach((peer) => peer && this.broadcastSighting(peer, false));
  }

  /** The settlements and the roster, for a newly linked entry. */
  snapshotMessages(): PeerMessage[] {
    const { recovery } = this.options;
    const roster = create(RosterSchema, { items: recovery.roster.all() });
    const settlements = recovery.settlements
      .all()
      .map((value): PeerMessage => ({ case: 'settlement', value }));
    return [...settlements, { case: 'roster', value: roster }];
  }

  private broadcastSighting(
    { incarnation, instance, services }: SidecarPeer,
    ended: boolean,
  ): void {
    const { recovery, timer, broadcast } = this.options;
    const sighting = { incarnation, instance, services: [...services], ended };
    const item = recovery.roster.recordSighting(sighting, timer.wall());
    recovery.confirmations.notifyChange();
    broadcast({ case: 'roster', value: create(RosterSchema, { items: [item] }) });
  }

  private broadcastSettlement(sidecar: string, jobs: string[], revoked: boolean): void {
    const { recovery, timer, self, broadcast } = this.options;
    const lastMs = recovery.settlements.atMs(sidecar, self) ?? 0n;
    const wallMs = BigInt(timer.wall());
    const atMs = wallMs > lastMs ? wallMs : lastMs + 1n;
    const value: Settlement = create(SettlementSchema, {
      sidecar,
      owner: self,
      jobs,
      atMs,
      revoked,
    });
    recovery.addSettlement(value);
    broadcast({ case: 'settlement', value });
  }
}
