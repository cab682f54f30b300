import type { Fenced } from '../gen/magnoliakeel/v1/peer_pb';

/** What sidecars have confirmed of views, and the jobs of removed owners that they named. */
export default class FenceConfirmations {
  private readonly confirmed = new Map<string, Set<bigint>>();

  private readonly named = new Map<string, Set<string>>();

  private readonly waiters = new Set<() => void>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): FenceConfirmations {
    return new FenceConfirmations();
  }

  /** Takes a sidecar's confirmation. */
  add(sidecar: string, fenced: Fenced): void {
    const views = this.confirmed.get(sidecar) ?? new Set();
    views.add(fenced.viewNumber);
    this.confirmed.set(sidecar, views);
    fenced.jobs.forEach((job) => {
      const sidecars = this.named.get(job) ?? new Set();
      sidecars.add(sidecar);
      this.named.set(job, sidecars);
    });
    this.notifyChange();
  }

  /**
   * Numbers of the views that a sidecar confirmed. It refuses starts of owners
   * outside each of them ever after, also when it is lost later.
   */
  confirmedViews(sidecar: string): bigint[] {
    return [...(this.confirmed.get(sidecar) ?? [])];
  }

  /** The sidecars that confirmed any view. */
  get sidecars(): string[] {
    return [...this.confirmed.keys()];
  }

  /** The sidecars that named a job. */
  sidecarsWithJob(job: string): string[] {
    return [...(this.named.get(job) ?? [])];
  }

  /** Forgets the confirmations of all sidecars but these. */
  retain(sidecars: ReadonlySet<string>): void {
    [...this.confirmed.keys()]
      .filter((sidecar) => !sidecars.has(sidecar))
      .forEach((sidecar) => this.confirmed.delete(sidecar));
  }

  /** Wakes those who wait for a change; meant for when something they look at changed elsewhere. */
  notifyChange(): void {
    const waiting = [...this.waiters];
    this.waiters.clear();
    waiting.forEach((wake) => wake());
  }

  /** Resolves at the next change. */
  nextChange(): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.add(resolve);
    });
  }
}
