import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { Member, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Store from '../store/Store';

/** Dependencies and settings of the membership of one entry. */
export default interface MembershipOptions {
  readonly store: Store;
  readonly timer: TimerService;
  readonly random: Random;
  /** This entry as a member of the view. */
  readonly self: Member;
  /** The newest known view, shared with the rest of the entry. */
  readonly views: Versioned<View>;
  /** Whether the failure detector suspects an incarnation: no message from it for some time. */
  readonly isSuspected: (incarnation: string) => boolean;
  /** How long job records are kept, in milliseconds; previous views are kept a little longer. */
  readonly retentionMs: () => number;
  /** Called after each renewal of the lease with whether the store answered. */
  readonly onLeaseRenewal?: (isAnswered: boolean) => void;
  /** The lease's time to live in milliseconds; it is renewed after each third of this time. */
  readonly leaseMs: number;
}
