import type { LoadReport, RunEnd } from '../gen/magnoliakeel/v1/peer_pb';
import type BatchClaims from '../claims/BatchClaims';
import type DrainedZones from '../peering/DrainedZones';
import type BatchEntryOptions from './BatchEntryOptions';
import type Cancellation from './Cancellation';
import type CancelledIds from './CancelledIds';
import type Followers from './Followers';
import type QueueTable from './QueueTable';
import type SidecarPeer from './SidecarPeer';

/** Options of the links of a batch entry. */
export default interface EntryPeersOptions extends BatchEntryOptions {
  /** The active configuration, which is announced to newly linked entries. */
  readonly table: () => QueueTable;
  /** Called with a configuration from another entry. */
  readonly onConfiguration: (table: QueueTable) => void;
  /** The drained availability zones, which are sent over each new link. */
  readonly drainedZones: () => DrainedZones;
  /** Called with the drained zones that another entry has sent. */
  readonly onDrainedZones: (zones: DrainedZones) => void;
  /** Cancelled batches, which are told to newly linked entries. */
  readonly cancelled: CancelledIds;
  /** Called with a cancellation that another entry knows of. */
  readonly onCancelled: (cancellation: Cancellation) => void;
  /** The claims that decide which entry runs a batch. */
  readonly claims: BatchClaims;
  /** Other entries that wait for batches of this one. */
  readonly followers: Followers;
  /** Called with the load report of another entry. */
  readonly onLoad: (entry: string, report: LoadReport) => void;
  /** Called before each message of a peer is processed. */
  readonly beforeMessage: () => void;
  /** Called when a sidecar has reported its free capacity. */
  readonly onCapacityChange: () => void;
  /** Called for a run that has ended according to its sidecar. */
  readonly onRunEnded: (peer: SidecarPeer, end: RunEnd) => void;
  /**
   * Called after a period without messages from any sidecar, in which they have stopped the runs of
   * this entry; with its length in ms.
   */
  readonly onIsolated: (silentMs: number) => void;
  /** Called when the link to a sidecar has ended; returns how long its runs may continue, ms. */
  readonly onSidecarLost: (peer: SidecarPeer) => number;
  /** Called when a sidecar has nothing left of its earlier links to this entry. */
  readonly onSidecarCleared: (instance: string) => void;
}
