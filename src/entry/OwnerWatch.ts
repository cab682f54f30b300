import isMember from '../core/isMember';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { View } from '../gen/magnoliakeel/v1/peer_pb';
import type OwnerWait from './OwnerWait';

/** What the waits for owners look at. */
interface OwnerWatchOptions {
  readonly timer: TimerService;
  readonly views: Versioned<View>;
  readonly isSuspected: (incarnation: string) => boolean;
}

/** Ends waits for an owner that seems down or is no member any more. */
export default class OwnerWatch {
  private readonly checks = new Set<() => void>();

  private constructor(private readonly options: OwnerWatchOptions) {}

  /** Creates a watch without waits. */
  static create(options: OwnerWatchOptions): OwnerWatch {
    return new OwnerWatch(options);
  }

  /** Looks at all waits again; meant for a change of the view or of a suspicion. */
  recheck(): void {
    [...this.checks].forEach((check) => check());
  }

  /** Resolves at a newer view or after the delay. */
  async nextViewOrDelay(delayMs: number): Promise<void> {
    const over = new AbortController();
    const unsubscribe = this.options.views.subscribe(() => over.abort());
    await this.options.timer.sleep(delayMs, over.signal);
    unsubscribe();
  }

  /** Starts a wait for an owner that ends early when the caller goes, too. */
  watchOwner(incarnation: string, gone: AbortSignal): OwnerWait {
    const control = new AbortController();
    const check = () => {
      if (
        !isMember(this.options.views.current, incarnation) ||
        this.options.isSuspected(incarnation)
      )
        control.abort();
    };
    const abort = () => control.abort();
    this.checks.add(check);
    gone.addEventListener('abort', abort, { once: true });
    const end = () => {
      this.checks.delete(check);
      gone.removeEventListener('abort', abort);
    };
    return { signal: control.signal, end };
  }
}
