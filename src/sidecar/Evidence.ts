import { create } from '@bufbuild/protobuf';
import type Versioned from '../core/Versioned';
import ownerOf from '../core/ownerOf';
import ownersIn from '../core/ownersIn';
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
import type Entries from './Entries';
import type EntryPeer from './EntryPeer';
import type Ledger from './Ledger';
import type LedgerJob from './LedgerJob';
import type LedgerTask from './LedgerTask';
import type Tasks from './Tasks';
import isMember from '../core/isMember';

interface EvidenceParts {
  readonly entries: Entries;
  readonly ledger: Ledger;
  readonly tasks: Tasks;
  readonly view: Versioned<View>;
}

/** Answers what entries ask of the ledger. The rules are in docs/design/ownership.md. */
export default class Evidence {
  private constructor(private readonly parts: EvidenceParts) {}

  /** Creates the answers over a sidecar's ledger. */
  static of(parts: EvidenceParts): Evidence {
    return new Evidence(parts);
  }

  /** Confirms the newest view to every linked entry. */
  fenceAll(): void {
    const jobs = this.orphans();
    this.parts.entries.all().forEach((peer) => this.sendFenced(peer, jobs));
  }

  /** Confirms the newest view to one entry. */
  fence(peer: EntryPeer): void {
    this.sendFenced(peer, this.orphans());
  }

  /** Says which of the tasks were never started here, and repeats the results of those that ended. */
  reconcile(peer: EntryPeer, ids: TaskId[]): void {
    const notHeld = ids.filter((id) => !this.parts.ledger.find(id));
    peer.send({ case: 'reconciled', value: create(ReconciledSchema, { notHeld }) });
    ids.forEach((id) => {
      const result = this.parts.ledger.find(id)?.result;
      if (result) this.parts.tasks.report(id, result);
    });
  }

  /** Moves jobs to a new owner, and tells it what is held of them. Ignored unless the owner is a member. */
  adopt(peer: EntryPeer, adopt: Adopt): void {
    if (!isMember(this.parts.view.current, adopt.owner)) return;
    const jobs = adopt.jobs
      .map((key) => this.parts.ledger.job(key))
      .filter((job) => job !== undefined);
    jobs.forEach((job) => Object.assign(job, { owner: adopt.owner }));
    peer.send({ case: 'adopted', value: create(AdoptedSchema, { jobs: jobs.map(heldJob) }) });
  }

  /** Jobs whose owner is not a member, by the member that owns them now; a leaving one owns none anew. */
  private orphans(): Map<string, string[]> {
    const view = this.parts.view.current;
    const incarnations = ownersIn(view);
    const members = new Set(view.members.map((member) => member.incarnation));
    const found = new Map<string, string[]>();
    [...this.parts.ledger.all()].forEach((job) => {
      if (members.has(job.owner)) return;
      const owner = ownerOf(job.job, incarnations);
      if (owner === undefined) return;
      const jobs = found.get(owner) ?? [];
      jobs.push(job.job);
      found.set(owner, jobs);
    });
    return found;
  }

  private sendFenced(peer: EntryPeer, orphans: Map<string, string[]>): void {
    const { number } = this.parts.view;
    const jobs = orphans.get(peer.incarnation) ?? [];
    peer.noteFenced(number);
    peer.send({ case: 'fenced', value: create(FencedSchema, { viewNumber: number, jobs }) });
  }
}

function heldJob(job: LedgerJob): HeldJob {
  const tasks = [...job.tasks.values()].map(heldTask);
  return create(HeldJobSchema, { job: job.job, digest: job.digest, tasks });
}

function heldTask(task: LedgerTask): HeldTask {
  const { index, attempt, result } = task;
  return create(HeldTaskSchema, { index, attempt, running: !result, ...result });
}
