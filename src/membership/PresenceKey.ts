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

/** Keeps a key in the store for as long as this process lives, and writes it anew when it was lost. */
export default class PresenceKey {
  private readonly keeper: LeasedKey;

  private wasWritten = false;

  private constructor(private readonly opts: PresenceKeyOptions) {
    this.keeper = LeasedKey.of(opts.store, opts.key, opts.value, TTL_MS);
  }

  /** Creates the key's keeper; nothing is written before `run`. */
  static of(opts: PresenceKeyOptions): PresenceKey {
    return new PresenceKey(opts);
  }

  /** Keeps the key until the signal aborts, then removes it. */
  async run(signal: AbortSignal): Promise<void> {
    const { timer } = this.opts;
    while (!signal.aborted) {
      const kept = await this.keeper.renew();
      if (kept.isOk() && kept.value === 'written') this.logWritten();
      await timer.sleep(kept.isOk() ? RENEW_MS : AGAIN_MS, signal);
    }
    await this.keeper.revoke();
  }

  private logWritten(): void {
    const { log, key } = this.opts;
    if (this.wasWritten) log.warn('the lease of the key has lapsed', { key });
    this.wasWritten = true;
    log.info('the key is in the store', { key });
  }
}

/** Life of the key without a renewal, ms; a few renewals may be missed. */
const TTL_MS = 8_000;

/** Pause between renewals, ms. */
const RENEW_MS = 2_500;

/** Pause after a failure, ms: a key has to be back within two seconds of the store's return. */
const AGAIN_MS = 700;
