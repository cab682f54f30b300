import createContext from '../../src/ctl/createContext';
import ManifestStore from '../../src/ctl/ManifestStore';
import pause from '../measureCapacity/pause';
import type AppliedChange from './AppliedChange';

/** An operator whose pipeline changes the manifest in the same way as magnoliakeelctl. */
export default class Operator {
  /** Number of applies that lost against a concurrent change by another operator. */
  conflicts = 0;

  /** Number of attempts that failed because the store could not be reached. */
  failures = 0;

  private changes = 0;

  private constructor(
    private readonly name: string,
    private readonly store: ManifestStore,
    private readonly base: { readonly services: readonly object[] },
  ) {}

  /** Creates an operator who adds a service of the given name to the base manifest. */
  static create(
    name: string,
    storeAddress: string,
    base: { readonly services: readonly object[] },
  ): Operator {
    return new Operator(name, ManifestStore.at(storeAddress, createContext()), base);
  }

  /** Changes the manifest, and retries until that succeeds. */
  async apply(phase: string): Promise<AppliedChange> {
    this.changes += 1;
    for (;;) {
      const startedAt = Date.now();
      const applied = await this.store
        .current()
        .andThen((current) => this.store.apply(this.manifest(), current));
      if (applied.isOk() && applied.value.isApplied) {
        return { version: applied.value.stored!.version, phase, startedAt };
      }
      if (applied.isOk()) this.conflicts += 1;
      else this.failures += 1;
      if (applied.isErr()) await pause(RETRY_SECONDS);
    }
  }

  private manifest(): object {
    const service = { name: this.name, timeoutMs: 1000 + this.changes };
    return { ...this.base, services: [...this.base.services, service] };
  }
}

const RETRY_SECONDS = 0.2;
