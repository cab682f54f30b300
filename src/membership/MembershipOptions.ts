import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { Member, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Store from '../store/Store';

/** What the membership of one entry works with. */
export default interface MembershipOptions {
  readonly store: Store;
  readonly timer: TimerService;
  readonly random: Random;
  /** This entry as the view names it. */
  readonly self: Member;
  /** The newest view, shared with the rest of the entry. */
  readonly views: Versioned<View>;
  /** Whether the entry has not heard from an incarnation for a while. */
  readonly isSuspected: (incarnation: string) => boolean;
  /** How long job records are kept, in milliseconds; past views are kept a little longer. */
  readonly retentionMs: () => number;
  /** Told after each renewal of the lease whether the store answered. */
  readonly onLeaseRenewal?: (isAnswered: boolean) => void;
  /** The lease's time to live; it is renewed every third of it. */
  readonly leaseMs: number;
}
