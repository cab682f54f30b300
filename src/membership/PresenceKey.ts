import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';
import type LeaseStore from '../store/LeaseStore';
import LeasedKey from './LeasedKey';

interface PresenceKeyOptions {
  readonly timer: TimerService;
  readonly store: LeaseStore;
  readonly log: EventLog;
  readonly key: string;
  readonly value: string;
}

/** Maintains a leased key in the store while this process runs, and rewrites it after the lease has expired. */
export default class PresenceKey {
  private readonly leasedKey: LeasedKey;

  private wasWritten = false;

  private constructor(private readonly opts: PresenceKeyOptions) {
    this.leasedKey = LeasedKey.of(opts.store, opts.key, opts.value, LEASE_TTL_MS);
  }

  /** Creates the key; nothing is written before `run`. */
  static of(opts: PresenceKeyOptions): PresenceKey {
    return new PresenceKey(opts);
  }

  /** Renews the key until the signal aborts, then deletes it. */
  async run(signal: AbortSignal): Promise<void> {
    const { timer } = this.opts;
    while (!signal.aborted) {
      const renewal = await this.leasedKey.renew();
      if (renewal.isOk() && renewal.value === 'written') this.logWritten();
      await timer.sleep(renewal.isOk() ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS, signal);
    }
    await this.leasedKey.revoke();
  }

  private logWritten(): void {
    const { log, key } = this.opts;
    if (this.wasWritten) log.warn('lease expired; the key was written again', { key });
    this.wasWritten = true;
    log.info('key written to the store', { key });
  }
}

/** Lease duration, ms; leaves time for a few missed renewals. */
const LEASE_TTL_MS = 8_000;

/** Time between renewals, ms. */
const RENEWAL_INTERVAL_MS = 2_500;

/** Delay after a failed call, ms: the key has to be rewritten within two seconds after the store is available again. */
const RETRY_DELAY_MS = 700;
