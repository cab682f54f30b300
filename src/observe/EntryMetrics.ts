import { Outcome, RefusalCause, TaskStatus, type View } from '../gen/magnoliakeel/v1/peer_pb';
import enumLabels from './enumLabels';
import type Metrics from './Metrics';

/** Counts the events that the parts of an entry report, in the metrics of the table. */
export default class EntryMetrics {
  private view: View | undefined;

  private constructor(private readonly metrics: Metrics) {}

  /** Creates hooks that update the given metrics. */
  static of(metrics: Metrics): EntryMetrics {
    return new EntryMetrics(metrics);
  }

  /** A caller's request was answered. */
  requestAnswered(service: string, outcome: Outcome): void {
    this.metrics.add('requests_total', 1, service, outcomes[outcome]);
  }

  /** An owned job or single request has its answer. */
  jobFinished(service: string, responseMs: number): void {
    this.metrics.record('response_seconds', responseMs / 1000, service);
  }

  /** A start was sent to a sidecar. */
  taskStarted(service: string, waitedMs: number): void {
    this.metrics.add('tasks_started_total', 1, service);
    this.metrics.record('queue_wait_seconds', waitedMs / 1000, service);
  }

  /** A task has ended with a result. */
  taskSettled(service: string, status: TaskStatus, responseMs: number, runMs: number): void {
    this.metrics.add('tasks_settled_total', 1, service, statuses[status]);
    if (status !== TaskStatus.COMPLETED) return;
    this.metrics.record('stretch_ratio', responseMs / Math.max(1, runMs), service);
  }

  /** A lost attempt is followed by another one. */
  taskRetried(service: string): void {
    this.metrics.add('tasks_retried_total', 1, service);
  }

  /** A start was refused. */
  startRefused(cause: RefusalCause): void {
    this.messagesWasted(`refused_${refusals[cause]}`);
  }

  /** Messages had no effect. */
  messagesWasted(cause: string, messages = 1): void {
    this.metrics.add('wasted_messages_total', messages, cause);
  }

  /** Another entry was asked for idle credits. */
  borrowRequested(service: string): void {
    this.metrics.add('borrow_asks_total', 1, service);
  }

  /** Another entry lent credits. */
  creditsBorrowed(service: string, credits: number): void {
    this.metrics.add('credits_borrowed_total', credits, service);
  }

  /** Credits were lent to another entry. */
  creditsLent(service: string, credits: number): void {
    this.metrics.add('credits_lent_total', credits, service);
  }

  /** The state of a job without a record here was recovered. */
  jobStateRecovered(provenance: string): void {
    this.metrics.add('provenances_total', 1, provenance);
  }

  /** A linked process became unresponsive. */
  suspected(peer: 'entry' | 'sidecar'): void {
    this.metrics.add('suspicions_total', 1, peer);
  }

  /** A newer view was received. */
  viewChanged(view: View): void {
    const present = new Set(view.members.map(({ incarnation }) => incarnation));
    const gone = (this.view?.members ?? []).filter(({ incarnation }) => !present.has(incarnation));
    const left = gone.filter(({ leaving }) => leaving).length;
    this.metrics.add('members_left_total', left);
    this.metrics.add('members_removed_total', gone.length - left);
    this.view = view;
  }
}

const outcomes = enumLabels(Outcome);
const statuses = enumLabels(TaskStatus);
const refusals = enumLabels(RefusalCause);
