import type { Fenced } from '../gen/magnoliakeel/v1/peer_pb';

/** What sidecars have confirmed of views, and the jobs of removed owners that they named. */
export default class Fences {
  private readonly confirmed = new Map<string, bigint>();

  private readonly named = new Map<string, Set<string>>();

  private readonly waiters = new Set<() => void>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): Fences {
    return new Fences();
  }

  /** Takes a sidecar's confirmation. */
  add(sidecar: string, fenced: Fenced): void {
    const known = this.confirmed.get(sidecar) ?? 0n;
    if (fenced.viewNumber > known) this.confirmed.set(sidecar, fenced.viewNumber);
    fenced.jobs.forEach((job) => {
      const sidecars = this.named.get(job) ?? new Set();
      sidecars.add(sidecar);
      this.named.set(job, sidecars);
    });
    this.changed();
  }

  /** Whether a sidecar refuses the owners that are not in the view with this number. */
  covers(sidecar: string, viewNumber: bigint): boolean {
    return (this.confirmed.get(sidecar) ?? 0n) >= viewNumber;
  }

  /** The sidecars that named a job. */
  sidecarsOf(job: string): string[] {
    return [...(this.named.get(job) ?? [])];
  }

  /** Forgets a sidecar that has ended; what it named stays known as named. */
  drop(sidecar: string): void {
    this.confirmed.delete(sidecar);
    this.changed();
  }

  /** Forgets a job once it has a record. */
  forget(job: string): void {
    this.named.delete(job);
  }

  /** Wakes those who wait for a change; meant for when something they look at changed elsewhere. */
  changed(): void {
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
