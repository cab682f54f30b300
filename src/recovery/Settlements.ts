import type { Settlement } from '../gen/magnoliakeel/v1/peer_pb';

/** Which owners have dealt with the loss of which sidecars, and the jobs that this touched. */
export default class Settlements {
  private readonly byLoss = new Map<string, Settlement>();

  private readonly jobs = new Map<string, number>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): Settlements {
    return new Settlements();
  }

  /** Takes a settlement and says whether it was new. */
  add(settlement: Settlement): boolean {
    const loss = lossOf(settlement.sidecar, settlement.owner);
    const known = this.byLoss.get(loss);
    if (known && known.atMs >= settlement.atMs) return false;
    const jobs = [...new Set([...(known?.jobs ?? []), ...settlement.jobs])];
    this.byLoss.set(loss, { ...settlement, jobs });
    known?.jobs.forEach((job) => this.release(job));
    jobs.forEach((job) => this.jobs.set(job, (this.jobs.get(job) ?? 0) + 1));
    return true;
  }

  /** Whether an owner has settled the loss of a sidecar. */
  has(sidecar: string, owner: string): boolean {
    const settlement = this.byLoss.get(lossOf(sidecar, owner));
    return settlement !== undefined && !settlement.revoked;
  }

  /** Wall-clock time of an owner's last word on the loss of a sidecar. */
  atMs(sidecar: string, owner: string): bigint | undefined {
    return this.byLoss.get(lossOf(sidecar, owner))?.atMs;
  }

  /** Whether a job had tasks on a sidecar that was lost. */
  affects(job: string): boolean {
    return this.jobs.has(job);
  }

  /** All settlements, for telling another entry. */
  all(): Settlement[] {
    return [...this.byLoss.values()];
  }

  /** Forgets settlements made before a wall-clock time. */
  expire(wallMs: number): void {
    this.byLoss.forEach((settlement, loss) => {
      if (Number(settlement.atMs) >= wallMs) return;
      this.byLoss.delete(loss);
      settlement.jobs.forEach((job) => this.release(job));
    });
  }

  private release(job: string): void {
    const count = (this.jobs.get(job) ?? 0) - 1;
    if (count > 0) this.jobs.set(job, count);
    else this.jobs.delete(job);
  }
}

function lossOf(sidecar: string, owner: string): string {
  return `${sidecar} ${owner}`;
}
