import { create, type MessageInitShape } from '@bufbuild/protobuf';
import jobKey from '../core/jobKey';
import ownerOf from '../core/ownerOf';
import eligibleOwners from '../core/eligibleOwners';
import {
  type Answer,
  AnswerSchema,
  ForwardRequestSchema,
  type ForwardResponse,
  ForwardResponseSchema,
  type Member,
  Outcome,
  type Submission,
} from '../gen/magnoliakeel/v1/peer_pb';
import type JobTable from './JobTable';
import type RouterOptions from './RouterOptions';
import traceForward from './traceForward';

/**
 * Forwards a submission to the owner of its job and returns the answer. It keeps
 * the submission until it is answered, so that it can be sent to a lost owner's
 * successor without the caller having to resubmit it.
 */
export default class Router {
  private constructor(
    private readonly options: RouterOptions,
    private readonly jobs: JobTable,
  ) {}

  /** Creates the router of an entry; `jobs` holds the jobs that the entry owns itself. */
  static create(options: RouterOptions, jobs: JobTable): Router {
    return new Router(options, jobs);
  }

  /** Answers a caller's submission through the entry that owns its job. */
  async submit(submission: Submission, callerGone: AbortSignal): Promise<Answer> {
    const { timer } = this.options;
    const startedAt = timer.now();
    const maxWaitMs = Math.max(submission.waitMs, this.options.ownerWaitMs);
    let mayHaveReached = false;
    while (!callerGone.aborted) {
      const waitMs = Math.max(0, submission.waitMs - (timer.now() - startedAt));
      const attempt = await this.tryOwner({ ...submission, waitMs: Math.ceil(waitMs) }, callerGone);
      if (attempt.answer)
        return mayHaveReached ? withoutNotRunGuarantee(attempt.answer) : attempt.answer;
      mayHaveReached ||= attempt.mayHaveReached;
      if (timer.now() - startedAt >= maxWaitMs) break;
      await this.options.nextViewOrDelay(VIEW_WAIT_MS);
    }
    return ownerUnreachable();
  }

  /**
   * Processes a submission that another entry forwarded, under a configuration no
   * older than that entry's, so that every service it knows is known here.
   */
  async handleForwarded(
    submission: Submission,
    version: bigint,
    callerGone: AbortSignal,
  ): Promise<ForwardResponse> {
    if (!(await this.waitForVersion(version))) {
      return this.answerResponse(configurationOutdated());
    }
    const reply = await this.jobs.handle(submission);
    if (reply.kind === 'notOwner') return this.notOwnerResponse(reply.mayHaveRun);
    if (reply.kind === 'answer') return this.answerResponse(reply.answer);
    const { answer, mayHaveReached } = await this.forwardTo(
      submission,
      this.memberOf(reply.incarnation),
      callerGone,
    );
    return answer ? this.answerResponse(answer) : this.notOwnerResponse(mayHaveReached);
  }

  /** Makes the sender try again, with the newest view. */
  private notOwnerResponse(mayHaveRun: boolean): ForwardResponse {
    const value = this.options.views.current;
    return this.createResponse({ result: { case: 'notOwner', value }, mayHaveRun });
  }

  private answerResponse(value: Answer): ForwardResponse {
    return this.createResponse({ result: { case: 'answer', value } });
  }

  private createResponse(init: MessageInitShape<typeof ForwardResponseSchema>): ForwardResponse {
    const configurationVersion = this.options.configurations.number;
    return create(ForwardResponseSchema, { ...init, configurationVersion });
  }

  private waitForVersion(version: bigint): Promise<boolean> {
    const { configurations, timer } = this.options;
    return configurations.waitForNumber(version, timer, VERSION_WAIT_MS);
  }

  private async tryOwner(submission: Submission, callerGone: AbortSignal): Promise<OwnerAttempt> {
    const owner = this.ownerOf(submission);
    if (!owner) return NOT_SENT;
    if (owner.incarnation !== this.options.self)
      return this.forwardTo(submission, owner, callerGone);
    const reply = await this.jobs.handle(submission);
    if (reply.kind === 'answer') return { answer: reply.answer, mayHaveReached: false };
    if (reply.kind === 'notOwner') return { mayHaveReached: reply.mayHaveRun };
    return this.forwardTo(submission, this.memberOf(reply.incarnation), callerGone);
  }

  private async forwardTo(
    submission: Submission,
    member: Member | undefined,
    callerGone: AbortSignal,
  ): Promise<OwnerAttempt> {
    if (!member || this.options.isSuspected(member.incarnation)) return NOT_SENT;
    const { network, views, configurations, tracer } = this.options;
    const { signal, release } = this.options.watchOwner(member.incarnation, callerGone);
    const reply = await traceForward(tracer, submission, member, async (traced) => {
      const req = create(ForwardRequestSchema, {
        submission: traced,
        view: views.current,
        configurationVersion: configurations.number,
      });
      return network.forward(member.address, req, signal);
    });
    release();
    if (reply.isErr()) return { mayHaveReached: reply.error.kind === 'broken' };
    await this.waitForVersion(reply.value.configurationVersion);
    const { result } = reply.value;
    if (result.case === 'answer') return { answer: result.value, mayHaveReached: true };
    if (result.case === 'notOwner') views.adopt(result.value);
    return { mayHaveReached: reply.value.mayHaveRun };
  }

  private ownerOf({ service, kind, id }: Submission): Member | undefined {
    const name = ownerOf(jobKey(service, kind, id), eligibleOwners(this.options.views.current));
    return name === undefined ? undefined : this.memberOf(name);
  }

  private memberOf(incarnation: string): Member | undefined {
    return this.options.views.current.members.find((member) => member.incarnation === incarnation);
  }
}

/** Result of one attempt to reach an owner. */
interface OwnerAttempt {
  readonly answer?: Answer;
  /** Whether the submission may have reached an owner. */
  readonly mayHaveReached: boolean;
}

const NOT_SENT: OwnerAttempt = { mayHaveReached: false };

/** How long to wait for a newer view before the next attempt. */
const VIEW_WAIT_MS = 250;

/**
 * An earlier attempt may have been accepted, so a later "not run" proves nothing
 * about the job as a whole.
 */
function withoutNotRunGuarantee(answer: Answer): Answer {
  if (answer.outcome !== Outcome.NOT_RUN) return answer;
  return { ...answer, outcome: Outcome.UNKNOWN };
}

/** Without the owner it is unknown whether an earlier submission of the id was run. */
function ownerUnreachable(): Answer {
  return create(AnswerSchema, {
    outcome: Outcome.UNKNOWN,
    reason: 'the owner of this id can not be reached; submit it again to run or continue it',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** The forwarding entry has a newer configuration, which did not arrive here in time. */
function configurationOutdated(): Answer {
  return create(AnswerSchema, {
    outcome: Outcome.UNKNOWN,
    reason: 'the owner of this id does not have the newest configuration yet; submit it again',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** How long to wait for a configuration that another entry already has. */
const VERSION_WAIT_MS = 2000;

/** Retry delay for a caller whose job's owner was not reached. */
const RETRY_AFTER_MS = 2000;
