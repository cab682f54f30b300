import type { Fenced } from '../gen/magnoliakeel/v1/peer_pb';

/** The views that sidecars have confirmed, and the jobs of removed owners that they reported with them. */
export default class FenceConfirmations {
  private readonly viewsBySidecar = new Map<string, Set<bigint>>();

  private readonly sidecarsByJob = new Map<string, Set<string>>();

  private readonly waiters = new Set<() => void>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): FenceConfirmations {
    return new FenceConfirmations();
  }

  /** Adds a sidecar's confirmation. */
  add(sidecar: string, fenced: Fenced): void {
    const views = this.viewsBySidecar.get(sidecar) ?? new Set();
    views.add(fenced.viewNumber);
    this.viewsBySidecar.set(sidecar, views);
    fenced.jobs.forEach((job) => {
      const sidecars = this.sidecarsByJob.get(job) ?? new Set();
      sidecars.add(sidecar);
      this.sidecarsByJob.set(job, sidecars);
    });
    this.notifyChange();
  }

  /**
   * Numbers of the views that a sidecar has confirmed. From each confirmation
   * on it refuses starts of owners outside that view; the confirmation remains
   * valid if the sidecar is lost later.
   */
  confirmedViews(sidecar: string): bigint[] {
    return [...(this.viewsBySidecar.get(sidecar) ?? [])];
  }

  /** The sidecars that have confirmed any view. */
  get sidecars(): string[] {
    return [...this.viewsBySidecar.keys()];
  }

  /** The sidecars that have reported a job. */
  sidecarsWithJob(job: string): string[] {
    return [...(this.sidecarsByJob.get(job) ?? [])];
  }

  /** Drops the confirmations of all sidecars but these. */
  retain(sidecars: ReadonlySet<string>): void {
    [...this.viewsBySidecar.keys()]
      .filter((sidecar) => !sidecars.has(sidecar))
      .forEach((sidecar) => this.viewsBySidecar.delete(sidecar));
  }

  /** Resolves the promises of `nextChange`; also to be called when other state that their holders depend on changes. */
  notifyChange(): void {
    const resolvers = [...this.waiters];
    this.waiters.clear();
    resolvers.forEach((resolve) => resolve());
  }

  /** Resolves at the next change. */
  nextChange(): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.add(resolve);
    });
  }
}
