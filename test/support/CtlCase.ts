import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import Random from '../../src/core/Random';
import type CtlContext from '../../src/ctl/CtlContext';
import type OperatorAnswer from '../../src/ctl/OperatorAnswer';
import runCtl from '../../src/ctl/runCtl';
import type ProcessStatus from '../../src/operators/ProcessStatus';
import type Store from '../../src/store/Store';
import Engine from '../../tools/platform/Engine';
import ManualTimer from './ManualTimer';
import RecordingTerminal from './RecordingTerminal';

/** The command-line tool against a stand-in of the store and scripted entries. */
export default class CtlCase {
  readonly timer = ManualTimer.create();

  readonly engine = Engine.create(this.timer);

  /** What processes answer, by method, address and path; absent ones cannot be reached. */
  readonly answers = new Map<string, () => OperatorAnswer>();

  /** Another operator, who is faster: called just before the next write of the manifest. */
  rival: (() => Promise<unknown>) | undefined;

  private ids = 0;

  private readonly context: CtlContext = {
    timer: this.timer,
    random: Random.fromSeed(1),
    environment: { MAGNOLIAKEEL_STORE: '10.0.0.5:1', MAGNOLIAKEEL_ENTRY: '10.0.0.1:1,10.0.0.2:1' },
    openStore: () => this.contested(this.engine.client('ctl')),
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

  /** Runs a command line, moving the time while it waits; returns its exit code and what it printed. */
  async run(line: string): Promise<string> {
    const terminal = new RecordingTerminal();
    const argv = line.replaceAll('@', 'test/ctl/manifests/').split(' ').filter(Boolean);
    const running = runCtl(argv, terminal, this.context);
    let ended = false;
    const code = running.finally(() => {
      ended = true;
    });
    // Files are read in real time; the time of the case only moves for what waits for it.
    while (!ended) {
      await ManualTimer.settle();
      if (!ended && this.timer.isAwaited) await this.timer.advance(STEP_MS);
    }
    return [await code, ...terminal.lines].join('\n');
  }

  /** Has the second entry tell this status; the first cannot be reached. */
  tell(processes: () => readonly Partial<ProcessStatus>[]): void {
    const status = () => ({ ...SYSTEM, processes: processes().map(completeStatus) });
    this.answers.set('GET 10.0.0.2:1/v1/status', () => ({ status: 200, body: status() }));
  }

  private contested(store: Store): Store {
    const put: Store['put'] = (key, value, options) => {
      const { rival } = this;
      if (key !== 'manifest' || !rival) return store.put(key, value, options);
      this.rival = undefined;
      return ResultAsync.fromSafePromise(rival()).andThen(() => store.put(key, value, options));
    };
    return new Proxy(store, {
      get: (target, name) => {
        if (name === 'put') return put;
        const method: unknown = Reflect.get(target, name);
        return typeof method === 'function' ? method.bind(target) : method;
      },
    });
  }

  /** Version and applier of the manifest in the store. */
  async inForce(): Promise<string> {
    const item = (await this.engine.get('manifest')).unwrapOr(undefined);
    const { version, applyId } = JSON.parse(item?.value ?? '{}');
    return `${version} by ${applyId}`;
  }
}

const STEP_MS = 50;

const SYSTEM = { asked: 'entry-2', viewNumber: 4, configurationVersion: 2 };

function completeStatus(told: Partial<ProcessStatus>): ProcessStatus {
  return {
    ...{ role: 'entry', instance: '', incarnation: `${told.instance}.1`, zone: 'a' },
    ...{ operators: '', configurationVersion: 2, viewNumber: 4, leaving: false, reachable: true },
    ...{ jobs: 0, loads: [], services: [], links: 0 },
    ...told,
  };
}
