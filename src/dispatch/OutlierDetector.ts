import type ServiceConfig from '../settings/ServiceConfig';

/** When a failing backend server is ejected, as set in the manifest. */
type Limits = Required<NonNullable<ServiceConfig['eject']>>;

/** Number of finished and failed tasks of a sidecar in the current window. */
interface Tally {
  readonly since: number;
  finished: number;
  failed: number;
}

interface Ejected {
  until: number;
  /** Whether its probe task is running. */
  isProbing: boolean;
}

/**
 * Ejects backend servers that fail far more often than the service's others:
 * one that fails at once is always idle and would attract all tasks. After the
 * probation a single task is sent as a probe; if it fails too, the probation
 * starts again.
 */
export default class OutlierDetector {
  private readonly tallies = new Map<string, Tally>();

  private readonly ejected = new Map<string, Ejected>();

  private constructor(private readonly limits: () => Partial<Limits> | undefined) {}

  /** Creates a detector for the sidecars of one service; limits that are not given have the schema's defaults. */
  static create(limits: () => Partial<Limits> | undefined): OutlierDetector {
    return new OutlierDetector(limits);
  }

  /** Whether a sidecar is ejected and gets no task now. */
  isEjected(sidecar: string, now: number): boolean {
    const state = this.ejected.get(sidecar);
    return state !== undefined && (state.isProbing || now < state.until);
  }

  /** Records that a task was sent; for an ejected sidecar it is the probe. */
  taskStarted(sidecar: string): void {
    const state = this.ejected.get(sidecar);
    if (state) state.isProbing = true;
  }

  /** Records that a start was not run: an ejected sidecar still needs a probe. */
  taskNotRun(sidecar: string): void {
    const state = this.ejected.get(sidecar);
    if (state) state.isProbing = false;
  }

  /** Records whether a task failed. */
  taskEnded(sidecar: string, failed: boolean, now: number): void {
    const limits = { ...DEFAULT_LIMITS, ...this.limits() };
    const state = this.ejected.get(sidecar);
    if (state) {
      this.endProbe(sidecar, state, failed, now + limits.probationMs);
      return;
    }
    const tally = this.tallyOf(sidecar, now, limits.windowMs);
    tally.finished += 1;
    if (!failed) return;
    tally.failed += 1;
    if (this.isOutlier(sidecar, tally, limits)) {
      this.ejected.set(sidecar, { until: now + limits.probationMs, isProbing: false });
    }
  }

  /** Removes a sidecar that is lost. */
  remove(sidecar: string): void {
    this.tallies.delete(sidecar);
    this.ejected.delete(sidecar);
  }

  private endProbe(sidecar: string, state: Ejected, failed: boolean, until: number): void {
    if (!state.isProbing) return;
    if (failed) Object.assign(state, { until, isProbing: false });
    else this.remove(sidecar);
  }

  private tallyOf(sidecar: string, now: number, windowMs: number): Tally {
    let tally = this.tallies.get(sidecar);
    if (!tally || now - tally.since >= windowMs) {
      tally = { since: now, finished: 0, failed: 0 };
      this.tallies.set(sidecar, tally);
    }
    return tally;
  }

  private isOutlier(sidecar: string, { finished, failed }: Tally, limits: Limits): boolean {
    if (finished < limits.minTasks) return false;
    if (this.ejected.size + 1 > this.tallies.size * limits.maxShare) return false;
    let othersFinished = 0;
    let othersFailed = 0;
    this.tallies.forEach((tally, other) => {
      if (other === sidecar || this.ejected.has(other)) return;
      othersFinished += tally.finished;
      othersFailed += tally.failed;
    });
    const othersFailureRate = othersFinished === 0 ? 0 : othersFailed / othersFinished;
    return failed / finished - othersFailureRate >= limits.failureShare;
  }
}

const DEFAULT_LIMITS: Limits = {
  failureShare: 0.5,
  minTasks: 20,
  windowMs: 10_000,
  probationMs: 5000,
  maxShare: 0.3,
};
