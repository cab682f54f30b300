import { create } from '@bufbuild/protobuf';
import type Versioned from '../core/Versioned';
import ownerOf from '../core/ownerOf';
import eligibleOwners from '../core/eligibleOwners';
import {
  AdoptedSchema,
  FencedSchema,
  HeldJobSchema,
  HeldTaskSchema,
  ReconciledSchema,
  type Adopt,
  type HeldJob,
  type HeldTask,
  type TaskId,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';
import type LinkedEntries from './LinkedEntries';
import type LinkedEntry from './LinkedEntry';
import type Ledger from './Ledger';
import type LedgerJob from './LedgerJob';
import type LedgerTask from './LedgerTask';
import type TaskRunner from './TaskRunner';
import isMember from '../core/isMember';

interface LedgerResponderOptions {
  readonly entries: LinkedEntries;
  readonly ledger: Ledger;
  readonly taskRunner: TaskRunner;
  readonly view: Versioned<View>;
}

/**
 * Reports to entries from the ledger when views, job owners or links change. The
 * rules are in docs/design/ownership.md.
 */
export default class LedgerResponder {
  private constructor(private readonly opts: LedgerResponderOptions) {}

  /** Creates the responder for a sidecar's ledger. */
  static of(opts: LedgerResponderOptions): LedgerResponder {
    return new LedgerResponder(opts);
  }

  /** Confirms to every linked entry that starts by owners outside the newest view are refused. */
  confirmViewToAll(): void {
    const jobs = this.orphanedJobs();
    this.opts.entries.all().forEach((peer) => this.sendFenced(peer, jobs));
  }

  /** Confirms the newest view to one entry, as `confirmViewToAll` does. */
  confirmView(peer: LinkedEntry): void {
    this.sendFenced(peer, this.orphanedJobs());
  }

  /** Reports which of the tasks were never started here, and sends the results of the ended ones again. */
  reconcile(peer: LinkedEntry, ids: TaskId[]): void {
    const notHeld = ids.filter((id) => !this.opts.ledger.findTask(id));
    peer.send({ case: 'reconciled', value: create(ReconciledSchema, { notHeld }) });
    ids.forEach((id) => {
      const result = this.opts.ledger.findTask(id)?.result;
      if (result) this.opts.taskRunner.sendDone(id, result);
    });
  }

  /** Moves jobs to a new owner and sends it their ledger records. Ignored unless the owner is a member. */
  adopt(peer: LinkedEntry, adopt: Adopt): void {
    if (!isMember(this.opts.view.current, adopt.owner)) return;
    const jobs = adopt.jobs
      .map((key) => this.opts.ledger.findJob(key))
      .filter((job) => job !== undefined);
    jobs.forEach((job) => Object.assign(job, { owner: adopt.owner }));
    peer.send({ case: 'adopted', value: create(AdoptedSchema, { jobs: jobs.map(toHeldJob) }) });
  }

  /** Jobs whose owner is not a member, keyed by their new owner; leaving members get no new jobs. */
  private orphanedJobs(): Map<string, string[]> {
    const view = this.opts.view.current;
    const incarnations = eligibleOwners(view);
    const members = new Set(view.members.map((member) => member.incarnation));
    const orphaned = new Map<string, string[]>();
    [...this.opts.ledger.allJobs()].forEach((job) => {
      if (members.has(job.owner)) return;
      const owner = ownerOf(job.job, incarnations);
      if (owner === undefined) return;
      const jobs = orphaned.get(owner) ?? [];
      jobs.push(job.job);
      orphaned.set(owner, jobs);
    });
    return orphaned;
  }

  private sendFenced(peer: LinkedEntry, orphans: Map<string, string[]>): void {
    const { number } = this.opts.view;
    const jobs = orphans.get(peer.incarnation) ?? [];
    peer.recordConfirmedView(number);
    peer.send({ case: 'fenced', value: create(FencedSchema, { viewNumber: number, jobs }) });
  }
}

function toHeldJob(job: LedgerJob): HeldJob {
  const tasks = [...job.tasks.values()].map(toHeldTask);
  return create(HeldJobSchema, { job: job.job, digest: job.digest, tasks });
}

function toHeldTask(task: LedgerTask): HeldTask {
  const { index, attempt, result } = task;
  return create(HeldTaskSchema, { index, attempt, running: !result, ...result });
}
