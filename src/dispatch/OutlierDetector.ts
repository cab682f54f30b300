import type ServiceConfig from '../settings/ServiceConfig';

/** When a backend server that fails is left alone, as the manifest says it. */
type Limits = Required<NonNullable<ServiceConfig['eject']>>;

/** What a sidecar's tasks came to within the current window. */
interface Tally {
  readonly since: number;
  finished: number;
  failed: number;
}

interface Ejected {
  until: number;
  /** True while the one trial task runs. */
  onTrial: boolean;
}

/**
 * Keeps work away from backend servers that fail far more than the service's
 * others: one that fails at once is always idle and would draw all work. After
 * the probation a single task is tried; if that fails too, the probation
 * starts again.
 */
export default class OutlierDetector {
  private readonly tallies = new Map<string, Tally>();

  private readonly ejected = new Map<string, Ejected>();

  private constructor(private readonly limits: () => Partial<Limits> | undefined) {}

  /** Creates a judge of one service's sidecars; limits that are not given have the schema's defaults. */
  static create(limits: () => Partial<Limits> | undefined): OutlierDetector {
    return new OutlierDetector(limits);
  }

  /** Whether a sidecar gets no task now. */
  isEjected(sidecar: string, now: number): boolean {
    const state = this.ejected.get(sidecar);
    return state !== undefined && (state.onTrial || now < state.until);
  }

  /** Notes that a task was sent; for an ejected sidecar it is the trial. */
  taskStarted(sidecar: string): void {
    const state = this.ejected.get(sidecar);
    if (state) state.onTrial = true;
  }

  /** Notes that a start was not run: a trial has yet to come. */
  taskNotRun(sidecar: string): void {
    const state = this.ejected.get(sidecar);
    if (state) state.onTrial = false;
  }

  /** Notes how a task ended. */
  taskEnded(sidecar: string, failed: boolean, now: number): void {
    const limits = { ...DEFAULTS, ...this.limits() };
    const state = this.ejected.get(sidecar);
    if (state) {
      this.endTrial(sidecar, state, failed, now + limits.probationMs);
      return;
    }
    const tally = this.tallyOf(sidecar, now, limits.windowMs);
    tally.finished += 1;
    if (!failed) return;
    tally.failed += 1;
    if (this.isFarWorse(sidecar, tally, limits)) {
      this.ejected.set(sidecar, { until: now + limits.probationMs, onTrial: false });
    }
  }

  /** Forgets a sidecar that is lost. */
  remove(sidecar: string): void {
    this.tallies.delete(sidecar);
    this.ejected.delete(sidecar);
  }

  private endTrial(sidecar: string, state: Ejected, failed: boolean, until: number): void {
    if (!state.onTrial) return;
    if (failed) Object.assign(state, { until, onTrial: false });
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

  private isFarWorse(sidecar: string, { finished, failed }: Tally, limits: Limits): boolean {
    if (finished < limits.minTasks) return false;
    if (this.ejected.size + 1 > this.tallies.size * limits.maxShare) return false;
    let othersFinished = 0;
    let othersFailed = 0;
    this.tallies.forEach((tally, other) => {
      if (other === sidecar || this.ejected.has(other)) return;
      othersFinished += tally.finished;
      othersFailed += tally.failed;
    });
    const usual = othersFinished === 0 ? 0 : othersFailed / othersFinished;
    return failed / finished - usual >= limits.failureShare;
  }
}

const DEFAULTS: Limits = {
  failureShare: 0.5,
  minTasks: 20,
  windowMs: 10_000,
  probationMs: 5000,
  maxShare: 0.3,
};
