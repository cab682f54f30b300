import { SpanKind } from '@opentelemetry/api';
import { RefusalCause, type Start, TaskStatus } from '../gen/magnoliakeel/v1/peer_pb';
import enumLabels from '../observe/enumLabels';
import type Span from '../observe/Span';
import type Tracer from '../observe/Tracer';
import type Announcement from './Announcement';

/** The spans of one start: the start itself and, in it, the call to the backend server. */
export default class TaskTrace {
  private call: Span | undefined;

  private constructor(
    private readonly start: Span,
    private readonly tracer: Tracer,
  ) {}

  /** Begins the span of a start; undefined when the task is not traced. */
  static begin(tracer: Tracer | undefined, start: Start, entry: string): TaskTrace | undefined {
    const span = tracer?.hop('start', SpanKind.SERVER, start.traceparent);
    if (!span) return undefined;
    const { service, credit, task } = start;
    span.set({ service, entry, task: task?.index ?? 0, attempt: task?.attempt ?? 0 });
    if (credit) span.set({ slot: credit.slot, generation: credit.generation });
    return new TaskTrace(span, tracer!);
  }

  /** The start was refused. */
  refused(cause: RefusalCause): void {
    this.callEnded();
    this.start.set({ refused: refusals[cause]! }).fail(`refused: ${refusals[cause]}`);
    this.start.end();
  }

  /** The backend server is about to be called; returns the `traceparent` for it. */
  calling(backend: Announcement): string {
    this.call = this.tracer.hop('call', SpanKind.CLIENT, this.start.traceparent);
    this.call?.set({ 'backend.address': backend.address });
    return this.call?.traceparent ?? '';
  }

  /** The call has ended, whether or not its result still counts. */
  callEnded(failure?: string): void {
    if (failure) this.call?.fail(failure);
    this.call?.end();
  }

  /** The task has its result. */
  concluded(status: TaskStatus, reason: string): void {
    this.start.set({ status: statuses[status]! });
    if (status !== TaskStatus.COMPLETED) this.start.fail(reason);
    this.start.end();
  }
}

const refusals = enumLabels(RefusalCause);
const statuses = enumLabels(TaskStatus);
