import { create } from '@bufbuild/protobuf';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { okAsync } from 'neverthrow';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import Dispatcher from '../../src/dispatch/Dispatcher';
import type QueuedTask from '../../src/dispatch/QueuedTask';
import SidecarPeer from '../../src/dispatch/SidecarPeer';
import traceRequest from '../../src/entry/traceRequest';
import {
  Action,
  AnswerSchema,
  DoneSchema,
  GrantSchema,
  HelloSchema,
  Outcome,
  Role,
  type Start,
  SubmissionSchema,
  type TaskResult,
  TaskStatus,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import type PeerMessage from '../../src/link/PeerMessage';
import EntryMetrics from '../../src/observe/EntryMetrics';
import MeteredLink from '../../src/observe/MeteredLink';
import Metrics from '../../src/observe/Metrics';
import SpanBuffer from '../../src/observe/SpanBuffer';
import Tracer from '../../src/observe/Tracer';
import TaskTrace from '../../src/sidecar/TaskTrace';
import type TracingVariant from './TracingVariant';

const INPUT = new Uint8Array(64);
const BACKEND = { service: 'booking', address: '127.0.0.1:1', slots: 8, connections: 8 };
/** Number of tasks after which the event loop gets a turn; their spans fit into one batch. */
const TASKS_PER_TURN = 32;

/**
 * Sends requests of one task each, one after the other, through the real dispatcher,
 * with a sidecar that answers immediately. Sockets, jobs and the backend server are left
 * out, so that the difference between two variants is the cost of metrics and traces.
 */
export default class TracingBenchmark {
  private readonly timer = SystemTimer.create();

  private readonly metrics = Metrics.create(this.timer, 'entry');

  private readonly hooks: EntryMetrics | undefined;

  private readonly buffer = SpanBuffer.create({
    ...{ timer: this.timer, metrics: this.metrics, resource: resourceFromAttributes({}) },
    sink: { exportBatch: () => okAsync() },
  });

  private readonly tracer: Tracer | undefined;

  private readonly dispatcher: Dispatcher;

  private readonly peer: SidecarPeer;

  private starts: Start[] = [];

  private constructor(private readonly variant: TracingVariant) {
    const { timer, buffer } = this;
    const { sample } = variant;
    const random = Random.fromSeed(1);
    this.hooks = variant.metrics ? EntryMetrics.of(this.metrics) : undefined;
    const ended = buffer.add.bind(buffer);
    if (sample !== undefined) {
      this.tracer = Tracer.create({ timer, random, incarnation: 'e1', sample, onEnd: ended });
    }
    this.dispatcher = this.createDispatcher();
    const link = variant.metrics ? MeteredLink.over(this.link(), this.metrics) : this.link();
    this.peer = SidecarPeer.fromLink(link);
    this.peer.link = link;
    this.dispatcher.linkOpened(this.peer);
    const credits = [0, 1, 2, 3, 4, 5, 6, 7].map((slot) => ({ slot, generation: 1 }));
    this.dispatcher.handleGrant(this.peer, create(GrantSchema, { service: 'booking', credits }));
  }

  /** Runs a number of tasks and returns the CPU time per task, in microseconds. */
  static async run(variant: TracingVariant, tasks: number): Promise<number> {
    const benchmark = new TracingBenchmark(variant);
    const before = process.cpuUsage();
    for (let index = 0; index < tasks; index += 1) {
      await benchmark.request(index);
      if (index % TASKS_PER_TURN === 0) await nextTurn();
    }
    await benchmark.buffer.close();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / tasks;
  }

  private async request(index: number): Promise<void> {
    const submission = create(SubmissionSchema, {
      ...{ action: Action.SUBMIT, service: 'booking', kind: 'request', id: `id-${index}` },
      ...{ team: 'agencies', inputs: [INPUT] },
    });
    const acceptedAt = this.timer.now();
    const answer = await traceRequest(this.tracer, { submission, keyed: true }, async (traced) => {
      await this.runTask(index, traced.submission.traceparent);
      return create(AnswerSchema, { outcome: Outcome.COMPLETED });
    });
    this.hooks?.jobFinished('booking', this.timer.now() - acceptedAt);
    this.hooks?.requestAnswered('booking', answer.outcome);
  }

  private runTask(index: number, traceparent: string): Promise<void> {
    return new Promise((resolve) => {
      this.dispatcher.enqueue(this.taskOf(index, traceparent, resolve));
      const { starts } = this;
      this.starts = [];
      starts.forEach((start) => this.answer(start));
    });
  }

  private taskOf(index: number, traceparent: string, resolve: () => void): QueuedTask {
    const queuedAt = this.timer.now();
    return {
      ...{ job: `job-${index}`, index: 0, service: 'booking', team: 'agencies', input: INPUT },
      ...{ digest: '', jobSize: 1, createdMs: 0n, timeoutMs: 1000, traceparent, attempt: 0 },
      ...{ retryable: false, queuedAt, isWanted: () => true },
      onStarting: () => undefined,
      onNotStarted: () => undefined,
      onSettled: ({ status, runMs }: TaskResult) => {
        this.hooks?.taskSettled('booking', status, this.timer.now() - queuedAt, runMs);
        resolve();
      },
    };
  }

  private answer(start: Start): void {
    const trace = TaskTrace.begin(this.tracer, start, 'e1');
    trace?.beginCall(BACKEND);
    trace?.endCall();
    trace?.endWithResult(TaskStatus.COMPLETED, '');
    const { slot, generation } = start.credit!;
    const credit = { slot, generation: generation + 1 };
    const status = TaskStatus.COMPLETED;
    if (this.variant.metrics) this.metrics.add('messages_received_total', 1, 'sidecar', 'done');
    this.dispatcher.handleDone(this.peer, create(DoneSchema, { task: start.task, status, credit }));
  }

  private createDispatcher(): Dispatcher {
    return Dispatcher.create({
      ...{ timer: this.timer, random: Random.fromSeed(1), policy: 'credits', owner: 'e1' },
      ...{ metrics: this.hooks, tracer: this.tracer },
      viewNumber: () => 1n,
      weightOf: () => 1,
      maxRunningOf: () => undefined,
      takeRetry: () => false,
      sendToEntry: () => false,
    });
  }

  private link(): Link {
    const names = { instance: 's1', incarnation: 's1', zone: 'z1', services: ['booking'] };
    return {
      peer: create(HelloSchema, { role: Role.SIDECAR, ...names }),
      closed: new AbortController().signal,
      ...{ lastSentAt: 0, lastReceivedAt: 0 },
      send: (message: PeerMessage) => {
        if (message.case === 'start') this.starts.push(message.value);
      },
      messages: () => {
        throw new Error('this link is not read');
      },
      close: () => undefined,
    };
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
