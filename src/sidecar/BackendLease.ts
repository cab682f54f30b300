import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type Announcement from './Announcement';

/** Renewals that may be missed before a backend server counts as gone. */
const RENEWALS = 3;

interface BackendLeaseOptions {
  readonly timer: TimerService;
  /** How often the backend server is asked to renew, milliseconds. */
  readonly renewMs: number;
  /** Called when a backend server comes, or comes back. */
  readonly opened: (backend: Announcement) => void;
  /** Called when it leaves, stops renewing or cannot be reached. */
  readonly closed: (backend: Announcement) => void;
}

/** The one backend server of a sidecar, for as long as it keeps renewing its announcement. */
export default class BackendLease {
  private backend: Announcement | undefined;

  private expiry: Subscription | undefined;

  private constructor(private readonly opts: BackendLeaseOptions) {}

  /** Creates the lease of a sidecar whose backend server has not come yet. */
  static create(opts: BackendLeaseOptions): BackendLease {
    return new BackendLease(opts);
  }

  /** The backend server that takes tasks now. */
  get current(): Announcement | undefined {
    return this.backend;
  }

  /** Takes an announcement or renews it, and returns after how many milliseconds to renew it. */
  announce(backend: Announcement): number {
    if (this.backend && !isSame(this.backend, backend)) this.end();
    this.expiry?.cancel();
    this.expiry = this.opts.timer.after(this.opts.renewMs * RENEWALS, () => this.end());
    if (!this.backend) {
      this.backend = backend;
      this.opts.opened(backend);
    }
    return this.opts.renewMs;
  }

  /** Ends the lease; the next announcement opens a new one. */
  end(): void {
    this.expiry?.cancel();
    const { backend } = this;
    if (!backend) return;
    this.opts.closed(backend);
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
