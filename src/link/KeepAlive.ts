import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type KeepAliveOptions from './KeepAliveOptions';
import type Link from './Link';
import type PeerMessage from './PeerMessage';

/** Callbacks of the link's owner. */
interface KeepAliveOwner {
  /** Creates the next heartbeat message. */
  heartbeat(): PeerMessage;
  /** Called on each change of whether the peer is suspected; not called when the link closes. */
  onSuspicionChange(suspected: boolean): void;
}

/**
 * Sends heartbeats on an idle link and detects an unresponsive peer. Any message
 * counts as a heartbeat, in both directions. Stops when the link closes.
 */
export default class KeepAlive {
  private isSuspecting = false;

  /**
   * End of this process's last pause. Silence counts only from here, since messages that arrived during the
   * pause may be unread.
   */
  private pausedUntil = 0;

  private heartbeatTimer: Subscription | undefined;

  private silenceTimer: Subscription | undefined;

  private constructor(
    private readonly link: Link,
    private readonly timer: TimerService,
    private readonly options: KeepAliveOptions,
    private readonly owner: KeepAliveOwner,
  ) {}

  /** Starts heartbeats and silence checks on the link. */
  static start(
    link: Link,
    timer: TimerService,
    options: KeepAliveOptions,
    owner: KeepAliveOwner,
  ): KeepAlive {
    const keepAlive = new KeepAlive(link, timer, options, owner);
    if (link.closed.aborted) return keepAlive;
    link.closed.addEventListener('abort', () => keepAlive.stop(), { once: true });
    keepAlive.scheduleHeartbeat(options.intervalMs);
    keepAlive.scheduleCheck(options.suspectMs);
    return keepAlive;
  }

  /** Stops heartbeats and silence checks; the link stays as it is. */
  stop(): void {
    this.heartbeatTimer?.cancel();
    this.silenceTimer?.cancel();
  }

  private scheduleHeartbeat(delayMs: number): void {
    this.heartbeatTimer = this.timer.after(delayMs, () => this.sendHeartbeatIfIdle());
  }

  private sendHeartbeatIfIdle(): void {
    const { link, timer, options } = this;
    const leftMs = link.lastSentAt + options.intervalMs - timer.now();
    if (leftMs > 0) {
      this.scheduleHeartbeat(Math.ceil(leftMs));
      return;
    }
    link.send(this.owner.heartbeat());
    if (!link.closed.aborted) this.scheduleHeartbeat(options.intervalMs);
  }

  private scheduleCheck(delayMs: number): void {
    const dueAt = this.timer.now() + delayMs;
    this.silenceTimer = this.timer.after(delayMs, () => {
      this.detectPause(dueAt);
      this.checkSilence();
    });
  }

  private detectPause(dueAt: number): void {
    const now = this.timer.now();
    if (now - dueAt > this.options.intervalMs) this.pausedUntil = now;
  }

  private checkSilence(): void {
    const { link, timer, options } = this;
    const silentMs = timer.now() - Math.max(link.lastReceivedAt, this.pausedUntil);
    if (silentMs >= options.closeMs) {
      // The connection may be dead, and the next link must not use it.
      link.close(true);
      return;
    }
    this.setSuspecting(silentMs >= options.suspectMs);
    if (link.closed.aborted) return;
    this.scheduleCheck(
      this.isSuspecting ? options.intervalMs : Math.ceil(options.suspectMs - silentMs),
    );
  }

  private setSuspecting(suspected: boolean): void {
    if (suspected === this.isSuspecting) return;
    this.isSuspecting = suspected;
    this.owner.onSuspicionChange(suspected);
  }
}
