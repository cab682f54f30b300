import { SpanKind } from '@opentelemetry/api';
import { RefusalCause, type Start, TaskStatus } from '../gen/magnoliakeel/v1/peer_pb';
import enumLabels from '../observe/enumLabels';
import type Span from '../observe/Span';
import type Tracer from '../observe/Tracer';
import type Announcement from './Announcement';

/** Spans of one start request: the handling of the request and, inside it, the call to the backend server. */
export default class TaskTrace {
  private callSpan: Span | undefined;

  private constructor(
    private readonly startSpan: Span,
    private readonly tracer: Tracer,
  ) {}

  /** Begins the span of a start request; undefined when the task is not traced. */
  static begin(tracer: Tracer | undefined, start: Start, entry: string): TaskTrace | undefined {
    const span = tracer?.startHop('start', SpanKind.SERVER, start.traceparent);
    if (!span) return undefined;
    const { service, credit, task } = start;
    span.set({ service, entry, task: task?.index ?? 0, attempt: task?.attempt ?? 0 });
    if (credit) span.set({ slot: credit.slot, generation: credit.generation });
    return new TaskTrace(span, tracer!);
  }

  /** Ends the spans with the cause for which the start was refused. */
  endWithRefusal(cause: RefusalCause): void {
    this.endCall();
    this.startSpan.set({ refused: refusalLabels[cause]! }).fail(`refused: ${refusalLabels[cause]}`);
    this.startSpan.end();
  }

  /** Begins the span of the call to the backend server and returns the `traceparent` to send with it. */
  beginCall(backend: Announcement): string {
    this.callSpan = this.tracer.startHop('call', SpanKind.CLIENT, this.startSpan.traceparent);
    this.callSpan?.set({ 'backend.address': backend.address });
    return this.callSpan?.traceparent ?? '';
  }

  /** Ends the span of the call, also when the task's result was already reported. */
  endCall(failure?: string): void {
    if (failure) this.callSpan?.fail(failure);
    this.callSpan?.end();
  }

  /** Ends the span of the start with the task's result. */
  endWithResult(status: TaskStatus, reason: string): void {
    this.startSpan.set({ status: statusLabels[status]! });
    if (status !== TaskStatus.COMPLETED) this.startSpan.fail(reason);
    this.startSpan.end();
  }
}

const refusalLabels = enumLabels(RefusalCause);
const statusLabels = enumLabels(TaskStatus);
