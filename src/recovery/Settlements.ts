import type { Settlement } from '../gen/magnoliakeel/v1/peer_pb';

/** Which owners have handled the loss of which sidecars, and the jobs that were affected. */
export default class Settlements {
  private readonly byLossKey = new Map<string, Settlement>();

  private readonly countByJob = new Map<string, number>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): Settlements {
    return new Settlements();
  }

  /** Adds a settlement; returns whether it was new. */
  add(settlement: Settlement): boolean {
    const key = lossKeyOf(settlement.sidecar, settlement.owner);
    const known = this.byLossKey.get(key);
    if (known && known.atMs >= settlement.atMs) return false;
    const jobs = [...new Set([...(known?.jobs ?? []), ...settlement.jobs])];
    this.byLossKey.set(key, { ...settlement, jobs });
    known?.jobs.forEach((job) => this.release(job));
    jobs.forEach((job) => this.countByJob.set(job, (this.countByJob.get(job) ?? 0) + 1));
    return true;
  }

  /** Whether an owner has handled the loss of a sidecar. */
  has(sidecar: string, owner: string): boolean {
    const settlement = this.byLossKey.get(lossKeyOf(sidecar, owner));
    return settlement !== undefined && !settlement.revoked;
  }

  /** Wall-clock time of an owner's last settlement of the loss of a sidecar, in ms. */
  atMs(sidecar: string, owner: string): bigint | undefined {
    return this.byLossKey.get(lossKeyOf(sidecar, owner))?.atMs;
  }

  /** Whether a job had tasks on a sidecar that was lost. */
  affects(job: string): boolean {
    return this.countByJob.has(job);
  }

  /** All settlements, to be sent to another entry. */
  all(): Settlement[] {
    return [...this.byLossKey.values()];
  }

  /** Drops settlements made before a wall-clock time. */
  expire(wallMs: number): void {
    this.byLossKey.forEach((settlement, key) => {
      if (Number(settlement.atMs) >= wallMs) return;
      this.byLossKey.delete(key);
      settlement.jobs.forEach((job) => this.release(job));
    });
  }

  private release(job: string): void {
    const count = (this.countByJob.get(job) ?? 0) - 1;
    if (count > 0) this.countByJob.set(job, count);
    else this.countByJob.delete(job);
  }
}

function lossKeyOf(sidecar: string, owner: string): string {
  return `${sidecar} ${owner}`;
}
