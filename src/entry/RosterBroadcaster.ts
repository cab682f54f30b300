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
 * Tells the other entries which sidecars this one sees come and go, and that
 * it has settled the loss of a sidecar, so that its successor can rely on it.
 */
export default class RosterBroadcaster {
  private constructor(private readonly options: RosterBroadcasterOptions) {}

  /** Creates the sightings of an entry. */
  static create(options: RosterBroadcasterOptions): RosterBroadcaster {
    return new RosterBroadcaster(options);
  }

  /** Notes that a sidecar has linked. */
  sidecarLinked(peer: SidecarPeer): void {
    this.sight(peer, false);
    const { recovery, self } = this.options;
    if (recovery.settlements.has(peer.incarnation, self)) this.settle(peer.incarnation, [], true);
  }

  /** Notes that a sidecar has ended, once all its tasks here are settled. */
  sidecarEnded(peer: SidecarPeer): void {
    this.settle(peer.incarnation, this.options.jobKeysOnSidecar(peer.incarnation), false);
    this.sight(peer, true);
  }

  /** Takes note of records from a leaving entry: sidecars settled before may have had tasks of these jobs. */
  recordsImported(records: readonly JobRecord[]): void {
    const { recovery, self, jobKeysOnSidecar: keysOn } = this.options;
    [...new Set(records.flatMap(({ sidecars }) => sidecars))]
      .filter((sidecar) => recovery.settlements.has(sidecar, self))
      .forEach((sidecar) => this.settle(sidecar, keysOn(sidecar), false));
  }

  /** Contradicts items that call a sidecar ended which is linked here. */
  refuteEnded(news: readonly RosterItem[]): void {
    const { linkedPeer } = this.options;
    news
      .filter((item) => item.ended)
      .map((item) => linkedPeer(item.incarnation))
      .forEach((peer) => peer && this.sight(peer, false));
  }

  /** What a newly linked entry has to know. */
  snapshotMessages(): PeerMessage[] {
    const { recovery } = this.options;
    const roster = create(RosterSchema, { items: recovery.roster.all() });
    const settlements = recovery.settlements
      .all()
      .map((value): PeerMessage => ({ case: 'settlement', value }));
    return [...settlements, { case: 'roster', value: roster }];
  }

  private sight({ incarnation, instance, services }: SidecarPeer, ended: boolean): void {
    const { recovery, timer, broadcast } = this.options;
    const sighting = { incarnation, instance, services: [...services], ended };
    const item = recovery.roster.recordSighting(sighting, timer.wall());
    recovery.confirmations.notifyChange();
    broadcast({ case: 'roster', value: create(RosterSchema, { items: [item] }) });
  }

  private settle(sidecar: string, jobs: string[], revoked: boolean): void {
    const { recovery, timer, self, broadcast } = this.options;
    const known = recovery.settlements.atMs(sidecar, self) ?? 0n;
    const wall = BigInt(timer.wall());
    const atMs = wall > known ? wall : known + 1n;
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
