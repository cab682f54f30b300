import type { LoadReport, RunEnd } from '../gen/magnoliakeel/v1/peer_pb';
import type BatchClaims from '../claims/BatchClaims';
import type DrainedZones from '../peering/DrainedZones';
import type BatchEntryOptions from './BatchEntryOptions';
import type Followers from './Followers';
import type QueueTable from './QueueTable';
import type SidecarPeer from './SidecarPeer';

/** What the links of an entry for batches need, and whom they tell. */
export default interface EntryPeersOptions extends BatchEntryOptions {
  /** The configuration in force, which newly linked entries are told. */
  readonly table: () => QueueTable;
  /** Told of a configuration from another entry. */
  readonly onConfiguration: (table: QueueTable) => void;
  /** The drained availability zones, of which all that are newly linked hear. */
  readonly drainedZones: () => DrainedZones;
  /** Told of a word on drained zones from another entry. */
  readonly onDrainedZones: (zones: DrainedZones) => void;
  /** Told of a batch that its caller has cancelled at another entry. */
  readonly onCancelled: (id: string) => void;
  /** Which of the entries runs a batch. */
  readonly claims: BatchClaims;
  /** Other entries that wait for batches of this one. */
  readonly followers: Followers;
  /** Told of the load at another entry. */
  readonly onLoad: (entry: string, report: LoadReport) => void;
  /** Called before anything that a peer has sent is acted upon. */
  readonly beforeMessage: () => void;
  /** Told that a sidecar has reported its room. */
  readonly onCapacityChange: () => void;
  /** Told of a run that a sidecar says is over. */
  readonly onRunEnded: (peer: SidecarPeer, end: RunEnd) => void;
  /** Told, once it is over, of a silence of all sidecars in which they have stopped what runs of this entry, ms. */
  readonly onIsolated: (silentMs: number) => void;
  /** Told that the link to a sidecar has ended; returns how long its runs may go on, ms. */
  readonly onSidecarLost: (peer: SidecarPeer) => number;
  /** Told that a sidecar has nothing left of its earlier links to this entry. */
  readonly onSidecarCleared: (instance: string) => void;
}
