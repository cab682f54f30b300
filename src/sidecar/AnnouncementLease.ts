import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type Announcement from './Announcement';

/** Renewal intervals without a renewal after which the lease ends. */
const RENEWALS_PER_LEASE = 3;

interface AnnouncementLeaseOptions {
  readonly timer: TimerService;
  /** Renewal interval requested from the backend server, milliseconds. */
  readonly renewMs: number;
  /** Called when a backend server announces itself while no lease is held. */
  readonly onOpen: (backend: Announcement) => void;
  /** Called when the lease ends: the backend server left, stopped renewing, changed or is unreachable. */
  readonly onClose: (backend: Announcement) => void;
}

/** Lease of a sidecar's only backend server, which lasts while the announcement is renewed. */
export default class AnnouncementLease {
  private backend: Announcement | undefined;

  private expiry: Subscription | undefined;

  private constructor(private readonly opts: AnnouncementLeaseOptions) {}

  /** Creates a lease that no backend server holds yet. */
  static create(opts: AnnouncementLeaseOptions): AnnouncementLease {
    return new AnnouncementLease(opts);
  }

  /** The announced backend server; undefined without a lease. */
  get current(): Announcement | undefined {
    return this.backend;
  }

  /** Opens or renews the lease and returns the renewal interval in milliseconds. */
  announce(backend: Announcement): number {
    if (this.backend && !isSame(this.backend, backend)) this.end();
    this.expiry?.cancel();
    this.expiry = this.opts.timer.after(this.opts.renewMs * RENEWALS_PER_LEASE, () => this.end());
    if (!this.backend) {
      this.backend = backend;
      this.opts.onOpen(backend);
    }
    return this.opts.renewMs;
  }

  /** Ends the lease; the next announcement opens a new one. */
  end(): void {
    this.expiry?.cancel();
    const { backend } = this;
    if (!backend) return;
    this.opts.onClose(backend);
    this.backend = undefined;
  }
}

function isSame(a: Announcement, b: Announcement): boolean {
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.slots === b.slots &&
    a.connections === b.connections
  );
}
