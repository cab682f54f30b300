import { create } from '@bufbuild/protobuf';
import type Random from '../core/Random';
import {
  type Answer,
  AnswerSchema,
  Outcome,
  type Submission,
} from '../gen/magnoliakeel/v1/peer_pb';
import type AdmissionOptions from './AdmissionOptions';

/** Decides whether an entry accepts a submission, before any of its tasks run. */
export default class Admission {
  private constructor(
    private readonly options: AdmissionOptions,
    private readonly random: Random,
  ) {}

  /** Creates the admission control of an entry. */
  static create(options: AdmissionOptions, random: Random): Admission {
    return new Admission(options, random);
  }

  /**
   * The answer to a submission that is refused; undefined for one that is accepted.
   * A submission that continues a job may belong to a service or a team that was
   * removed.
   */
  refusalFor(submission: Submission, keptBytes: number, isContinued: boolean): Answer | undefined {
    const { manifest, recordBytes, queueLength, isLeaving } = this.options;
    if (isLeaving()) return this.notRun('this entry is leaving');
    const service = manifest.service(submission.service);
    if (!service || (!isContinued && !manifest.offersService(submission.service))) {
      const reason = `there is no service "${submission.service}"`;
      return create(AnswerSchema, { outcome: Outcome.INVALID, reason });
    }
    if (!isContinued && !manifest.offersTeam(submission.team)) {
      const reason = `there is no team "${submission.team}"`;
      return create(AnswerSchema, { outcome: Outcome.INVALID, reason });
    }
    if (keptBytes > recordBytes) return this.notRun('the memory for job records is full');
    if (queueLength(submission.service) + submission.inputs.length > service.queue.maxTasks) {
      return this.notRun('the queue of the service is full');
    }
    const waitMs = this.options.predictedWaitMs(submission.service, submission.team);
    const limitMs = Math.min(submission.deadlineMs || service.jobTimeoutMs, service.jobTimeoutMs);
    if (!isContinued && waitMs > limitMs * MAX_WAIT_SHARE) {
      return this.notRun('the wait would take too much of the time');
    }
    return undefined;
  }

  private notRun(reason: string): Answer {
    const retryAfterMs = Math.ceil(this.random.jitter(RETRY_AFTER_MS));
    return create(AnswerSchema, { outcome: Outcome.NOT_RUN, reason, retryAfterMs });
  }
}

/** Share of the caller's time that may be spent waiting; the rest is for running. */
const MAX_WAIT_SHARE = 0.5;

const RETRY_AFTER_MS = 1000;
