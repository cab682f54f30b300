import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import Random from '../../src/core/Random';
import type CtlContext from '../../src/ctl/CtlContext';
import type OperatorAnswer from '../../src/ctl/OperatorAnswer';
import runCtl from '../../src/ctl/runCtl';
import type ProcessStatus from '../../src/operators/ProcessStatus';
import type Store from '../../src/store/Store';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import ManualTimer from './ManualTimer';
import RecordingTerminal from './RecordingTerminal';

/** Test fixture: runs `magnoliakeelctl` against a simulated store and scripted entries. */
export default class CtlCase {
  readonly timer = ManualTimer.create();

  readonly engine = SimulatedStoreEngine.create(this.timer);

  /** Responses by method, address and path; other requests fail as unreachable. */
  readonly answers = new Map<string, () => OperatorAnswer>();

  /** Runs once just before the next write of the manifest, to simulate another operator's concurrent write. */
  beforeManifestWrite: (() => Promise<unknown>) | undefined;

  private ids = 0;

  private readonly context: CtlContext = {
    timer: this.timer,
    random: Random.fromSeed(1),
    environment: { MAGNOLIAKEEL_STORE: '10.0.0.5:1', MAGNOLIAKEEL_ENTRY: '10.0.0.1:1,10.0.0.2:1' },
    openStore: () => this.withConcurrentWrite(this.engine.client('ctl')),
    newId: () => {
      this.ids += 1;
      return `apply-${this.ids}`;
    },
    operators: {
      request: (method, address, path) => {
        const answer = this.answers.get(`${method} ${address}${path}`);
        return answer ? okAsync(answer()) : errAsync('connection refused');
      },
    },
  };

  /**
   * Runs a command line, advancing the time while it waits; returns its exit code and output.
   * `@` stands for the folder of the test manifests.
   */
  async run(line: string): Promise<string> {
    const terminal = new RecordingTerminal();
    const argv = line.replaceAll('@', 'test/ctl/manifests/').split(' ').filter(Boolean);
    const running = runCtl(argv, terminal, this.context);
    let ended = false;
    const code = running.finally(() => {
      ended = true;
    });
    // Files are read in real time, so the simulated time only advances while a timer is pending.
    while (!ended) {
      await ManualTimer.settle();
      if (!ended && this.timer.hasScheduledCalls) await this.timer.advance(STEP_MS);
    }
    return [await code, ...terminal.lines].join('\n');
  }

  /** Makes the second entry answer with this status; the first entry is unreachable. */
  setStatus(processes: () => readonly Partial<ProcessStatus>[]): void {
    const status = () => ({ ...SYSTEM, processes: processes().map(statusWithDefaults) });
    this.answers.set('GET 10.0.0.2:1/v1/status', () => ({ status: 200, body: status() }));
  }

  private withConcurrentWrite(store: Store): Store {
    const put: Store['put'] = (key, value, options) => {
      const { beforeManifestWrite } = this;
      if (key !== 'manifest' || !beforeManifestWrite) return store.put(key, value, options);
      this.beforeManifestWrite = undefined;
      return ResultAsync.fromSafePromise(beforeManifestWrite()).andThen(() =>
        store.put(key, value, options),
      );
    };
    return new Proxy(store, {
      get: (target, name) => {
        if (name === 'put') return put;
        const method: unknown = Reflect.get(target, name);
        return typeof method === 'function' ? method.bind(target) : method;
      },
    });
  }

  /** Version and apply id of the manifest in the store. */
  async activeVersion(): Promise<string> {
    const item = (await this.engine.get('manifest')).unwrapOr(undefined);
    const { version, applyId } = JSON.parse(item?.value ?? '{}');
    return `${version} by ${applyId}`;
  }
}

const STEP_MS = 50;

const SYSTEM = { asked: 'entry-2', viewNumber: 4, configurationVersion: 2 };

function statusWithDefaults(given: Partial<ProcessStatus>): ProcessStatus {
  return {
    ...{ role: 'entry', instance: '', incarnation: `${given.instance}.1`, zone: 'a' },
    ...{ operators: '', configurationVersion: 2, viewNumber: 4, leaving: false, reachable: true },
    ...{ jobs: 0, loads: [], services: [], links: 0 },
    ...given,
  };
}
