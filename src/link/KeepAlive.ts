import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type KeepAliveOptions from './KeepAliveOptions';
import type Link from './Link';
import type PeerMessage from './PeerMessage';

/** What a link's owner adds to the keep-alive. */
interface KeepAliveOwner {
  /** Makes the next heartbeat. */
  heartbeat(): PeerMessage;
  /** Told once at each change of suspicion. Not told when the link closes. */
  onSuspicionChange(suspected: boolean): void;
}

/**
 * Sends heartbeats into silence and watches the peer's. Any message counts as
 * a heartbeat, in both directions. It stops when the link closes.
 */
export default class KeepAlive {
  private suspecting = false;

  /** Silence is counted from here when this process itself was held up and may have unread messages. */
  private heldUpUntil = 0;

  private beat: Subscription | undefined;

  private check: Subscription | undefined;

  private constructor(
    private readonly link: Link,
    private readonly timer: TimerService,
    private readonly limits: KeepAliveOptions,
    private readonly owner: KeepAliveOwner,
  ) {}

  /** Starts to keep the link alive. */
  static start(
    link: Link,
    timer: TimerService,
    limits: KeepAliveOptions,
    owner: KeepAliveOwner,
  ): KeepAlive {
    const keepAlive = new KeepAlive(link, timer, limits, owner);
    if (link.closed.aborted) return keepAlive;
    link.closed.addEventListener('abort', () => keepAlive.stop(), { once: true });
    keepAlive.beatLater(limits.intervalMs);
    keepAlive.checkLater(limits.suspectMs);
    return keepAlive;
  }

  /** Ends heartbeats and watching; the link stays as it is. */
  stop(): void {
    this.beat?.cancel();
    this.check?.cancel();
  }

  private beatLater(delayMs: number): void {
    this.beat = this.timer.after(delayMs, () => this.beatIfSilent());
  }

  private beatIfSilent(): void {
    const { link, timer, limits } = this;
    const leftMs = link.lastSentAt + limits.intervalMs - timer.now();
    if (leftMs > 0) {
      this.beatLater(Math.ceil(leftMs));
      return;
    }
    link.send(this.owner.heartbeat());
    if (!link.closed.aborted) this.beatLater(limits.intervalMs);
  }

  private checkLater(delayMs: number): void {
    const dueAt = this.timer.now() + delayMs;
    this.check = this.timer.after(delayMs, () => {
      this.noteHoldUp(dueAt);
      this.checkSilence();
    });
  }

  private noteHoldUp(dueAt: number): void {
    const now = this.timer.now();
    if (now - dueAt > this.limits.intervalMs) this.heldUpUntil = now;
  }

  private checkSilence(): void {
    const { link, timer, limits } = this;
    const silentMs = timer.now() - Math.max(link.lastReceivedAt, this.heldUpUntil);
    if (silentMs >= limits.closeMs) {
      link.close();
      return;
    }
    this.suspect(silentMs >= limits.suspectMs);
    if (link.closed.aborted) return;
    this.checkLater(this.suspecting ? limits.intervalMs : Math.ceil(limits.suspectMs - silentMs));
  }

  private suspect(suspected: boolean): void {
    if (suspected === this.suspecting) return;
    this.suspecting = suspected;
    this.owner.onSuspicionChange(suspected);
  }
}
