import isMember from '../core/isMember';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { View } from '../gen/magnoliakeel/v1/peer_pb';
import type OwnerWait from './OwnerWait';

/** Dependencies of an owner watch. */
interface OwnerWatchOptions {
  readonly timer: TimerService;
  readonly views: Versioned<View>;
  readonly isSuspected: (incarnation: string) => boolean;
}

/** Ends waits for an owner that is suspected or no longer a member. */
export default class OwnerWatch {
  private readonly checks = new Set<() => void>();

  private constructor(private readonly options: OwnerWatchOptions) {}

  /** Creates a watch without pending waits. */
  static create(options: OwnerWatchOptions): OwnerWatch {
    return new OwnerWatch(options);
  }

  /** Checks all pending waits; to be called when the view or a suspicion has changed. */
  recheck(): void {
    [...this.checks].forEach((check) => check());
  }

  /** Resolves when a newer view arrives or after the delay. */
  async nextViewOrDelay(delayMs: number): Promise<void> {
    const viewChanged = new AbortController();
    const unsubscribe = this.options.views.subscribe(() => viewChanged.abort());
    await this.options.timer.sleep(delayMs, viewChanged.signal);
    unsubscribe();
  }

  /** Starts a wait for an owner. Its signal also aborts when the caller disconnects. */
  watchOwner(incarnation: string, callerGone: AbortSignal): OwnerWait {
    const controller = new AbortController();
    const check = () => {
      if (
        !isMember(this.options.views.current, incarnation) ||
        this.options.isSuspected(incarnation)
      )
        controller.abort();
    };
    const abort = () => controller.abort();
    this.checks.add(check);
    callerGone.addEventListener('abort', abort, { once: true });
    const release = () => {
      this.checks.delete(check);
      callerGone.removeEventListener('abort', abort);
    };
    return { signal: controller.signal, release };
  }
}
