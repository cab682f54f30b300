import Resources from '../../src/room/Resources';
import { RunOutcome, type RunEnd } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type BackendRunClient from '../../src/runs/BackendRunClient';
import LocalBackend from '../../src/runs/LocalBackend';
import type RunRequest from '../../src/runs/RunRequest';
import LeasedBackend from '../../tools/leasedBackend/LeasedBackend';
import ManualTimer from './ManualTimer';

type Work = Parameters<typeof LeasedBackend.create>[0]['work'];

/** A sidecar's side of its backend server, with the ends that it reports. */
export default class RunCase {
  /** The outcome of each start request: "task outcome". */
  readonly ends: string[] = [];

  /** Log records. */
  readonly logRecords: Readonly<Record<string, unknown>>[] = [];

  readonly owner = { isConfirmed: true, silentMs: 0 };

  readonly host: LocalBackend;

  private readonly backends = new Map<string, LeasedBackend>();

  private startCount = 0;

  private constructor(readonly timer: ManualTimer) {
    const note = (message: string, fields: Readonly<Record<string, unknown>>): void => {
      this.logRecords.push({ message, ...fields });
    };
    this.host = LocalBackend.create({
      timer: this.timer,
      connect: ({ id }): BackendRunClient => this.backends.get(id)!,
      log: { info: note, warn: note },
      onChange: () => undefined,
    });
  }

  /** Creates a sidecar whose backend server has announced itself and accepts tasks. */
  static async open(work?: Work, born?: number) {
    const runCase = new RunCase(ManualTimer.create());
    const backend = runCase.addIncarnation('b1', work, born);
    runCase.host.handleHeartbeat(backend.nextHeartbeat());
    await runCase.timer.advance(50);
    return { runCase, backend };
  }

  /** Creates a sidecar that starts beside a backend server which is already running. */
  static restartSidecar(backend: LeasedBackend, timer: ManualTimer): RunCase {
    const runCase = new RunCase(timer);
    runCase.backends.set('b1', backend);
    runCase.host.handleHeartbeat(backend.nextHeartbeat());
    return runCase;
  }

  /** Adds an incarnation of the backend server, which has not announced itself. */
  addIncarnation(id: string, work?: Work, born?: number): LeasedBackend {
    const backend = LeasedBackend.create({ timer: this.timer, id, work, born });
    this.backends.set(id, backend);
    return backend;
  }

  /** Requests tasks of four cores and the given time each; the backend server has capacity for four. */
  startTasks(batch: string, count = 1, change: Partial<RunRequest> = {}): void {
    for (let index = 0; index < count; index += 1) this.startTask(batch, index, change);
  }

  private startTask(batch: string, index: number, change: Partial<RunRequest>): void {
    this.startCount += 1;
    const request: RunRequest = {
      ...{ batch, step: 0, index, service: 'booking', spec: '300', estimateMs: 300 },
      ...{
        attempt: 1,
        mostTogether: 0,
        label: '',
        suspicion: 0,
        number: this.startCount,
        owner: this.owner,
      },
      needs: Resources.of({ cpuMilli: 4_000, memoryMb: 64 }),
      onEnded: ({ outcome }: RunEnd) => this.ends.push(`${batch}.${index} ${RunOutcome[outcome]}`),
      ...change,
    };
    this.host.start(request, (reason) => this.ends.push(`${batch}.${index} ${reason}`));
  }
}
