import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type TimerService from '../../src/core/TimerService';
import type Announcement from '../../src/sidecar/Announcement';
import type BackendAnswer from '../../src/sidecar/BackendAnswer';
import type BackendCall from '../../src/sidecar/BackendCall';
import type BackendClient from '../../src/sidecar/BackendClient';
import type BackendError from '../../src/sidecar/BackendError';

interface TaskInput {
  readonly ms: number;
  readonly output?: unknown;
  readonly fail?: boolean;
}

/** A backend server in memory; each task runs for the time given in its input. */
export default class FakeBackend implements BackendClient {
  /** Number of times each task was started, by task name. */
  readonly starts = new Map<string, number>();

  /** Number of running tasks. */
  running = 0;

  /** When set, every call fails immediately with this error. */
  error: BackendError | undefined;

  /** Called with the task's name at the start of each call. */
  onRun: (task: string) => void = () => undefined;

  readonly closeIdle = () => undefined;

  private constructor(private readonly timer: TimerService) {}

  /** Creates a backend server whose calls succeed. */
  static create(timer: TimerService): FakeBackend {
    return new FakeBackend(timer);
  }

  run(
    _backend: Announcement,
    call: BackendCall,
    signal: AbortSignal,
  ): ResultAsync<BackendAnswer, BackendError> {
    this.onRun(call.task);
    if (this.error) return new ResultAsync(Promise.resolve(err(this.error)));
    this.starts.set(call.task, (this.starts.get(call.task) ?? 0) + 1);
    return new ResultAsync(this.simulateTask(call, signal));
  }

  private async simulateTask(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<Result<BackendAnswer, BackendError>> {
    const input = JSON.parse(Buffer.from(call.input).toString()) as TaskInput;
    this.running += 1;
    await this.timer.sleep(input.ms, signal);
    this.running -= 1;
    if (signal.aborted) return err({ kind: 'lost', reason: 'aborted' });
    const output = Buffer.from(JSON.stringify(input.output ?? null));
    const reason = input.fail ? 'told to fail' : '';
    return ok({ ok: !input.fail, output, reason });
  }
}
