import { create } from '@bufbuild/protobuf';
import jobKey from '../core/jobKey';
import ownerOf from '../core/ownerOf';
import ownersIn from '../core/ownersIn';
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
import type Jobs from './Jobs';
import type RouterOptions from './RouterOptions';
import traceForward from './traceForward';

/**
 * Brings a submission to the owner of its job and the answer back. It keeps
 * the submission until the answer is there, so that a lost owner's successor
 * gets it from here and the caller need not ask again.
 */
export default class Router {
  private constructor(
    private readonly options: RouterOptions,
    private readonly jobs: Jobs,
  ) {}

  /** Creates the router of an entry with the jobs that it owns itself. */
  static create(options: RouterOptions, jobs: Jobs): Router {
    return new Router(options, jobs);
  }

  /** The answer to a caller's submission, from whichever entry owns its job. */
  async submit(submission: Submission, gone: AbortSignal): Promise<Answer> {
    const { timer } = this.options;
    const begun = timer.now();
    const patience = Math.max(submission.waitMs, this.options.ownerWaitMs);
    let sent = false;
    while (!gone.aborted) {
      const waitMs = Math.max(0, submission.waitMs - (timer.now() - begun));
      const attempt = await this.tryOwner({ ...submission, waitMs: Math.ceil(waitMs) }, gone);
      if (attempt.answer) return sent ? withoutProof(attempt.answer) : attempt.answer;
      sent ||= attempt.sent;
      if (timer.now() - begun >= patience) break;
      await this.options.viewOrDelay(RETRY_MS);
    }
    return giveUp();
  }

  /** Acts on a submission that another entry forwarded. */
  async forwarded(submission: Submission, gone: AbortSignal): Promise<ForwardResponse> {
    const reply = await this.jobs.handle(submission);
    if (reply.kind === 'notOwner') {
      const value = this.options.views.current;
      const { mayHaveRun } = reply;
      return create(ForwardResponseSchema, { result: { case: 'notOwner', value }, mayHaveRun });
    }
    const value =
      reply.kind === 'answer'
        ? reply.answer
        : ((await this.passOn(submission, this.memberOf(reply.incarnation), gone)).answer ??
          giveUp());
    return create(ForwardResponseSchema, { result: { case: 'answer', value } });
  }

  private async tryOwner(submission: Submission, gone: AbortSignal): Promise<Attempt> {
    const owner = this.ownerOf(submission);
    if (!owner) return NOT_SENT;
    if (owner.incarnation !== this.options.self) return this.passOn(submission, owner, gone);
    const reply = await this.jobs.handle(submission);
    if (reply.kind === 'answer') return { answer: reply.answer, sent: false };
    if (reply.kind === 'notOwner') return { sent: reply.mayHaveRun };
    return this.passOn(submission, this.memberOf(reply.incarnation), gone);
  }

  private async passOn(
    submission: Submission,
    member: Member | undefined,
    gone: AbortSignal,
  ): Promise<Attempt> {
    if (!member || this.options.isSuspected(member.incarnation)) return NOT_SENT;
    const { network, views, tracer } = this.options;
    const { signal, end } = this.options.untilSuspected(member.incarnation, gone);
    const reply = await traceForward(tracer, submission, member, async (traced) => {
      const req = create(ForwardRequestSchema, { submission: traced, view: views.current });
      return network.forward(member.address, req, signal);
    });
    end();
    if (reply.isErr()) return { sent: reply.error.kind === 'broken' };
    const { result } = reply.value;
    if (result.case === 'answer') return { answer: result.value, sent: true };
    if (result.case === 'notOwner') views.adopt(result.value);
    return { sent: reply.value.mayHaveRun };
  }

  private ownerOf({ service, kind, id }: Submission): Member | undefined {
    const name = ownerOf(jobKey(service, kind, id), ownersIn(this.options.views.current));
    return name === undefined ? undefined : this.memberOf(name);
  }

  private memberOf(incarnation: string): Member | undefined {
    return this.options.views.current.members.find((member) => member.incarnation === incarnation);
  }
}

/** The outcome of one try to reach an owner. */
interface Attempt {
  readonly answer?: Answer;
  /** Whether the submission may have reached an owner. */
  readonly sent: boolean;
}

const NOT_SENT: Attempt = { sent: false };

/** How long to wait for a newer view before the next try. */
const RETRY_MS = 250;

/**
 * An earlier try may have been taken up, so a later "not run" proves nothing
 * about the job as a whole.
 */
function withoutProof(answer: Answer): Answer {
  if (answer.outcome !== Outcome.NOT_RUN) return answer;
  return { ...answer, outcome: Outcome.UNKNOWN };
}

/** Without the owner nobody can say whether an earlier submission of the id was run. */
function giveUp(): Answer {
  return create(AnswerSchema, {
    outcome: Outcome.UNKNOWN,
    reason: 'the owner of this id can not be reached; submit it again to run or continue it',
    retryAfterMs: COME_BACK_MS,
  });
}

/** When a caller may try again after its owner was not reached. */
const COME_BACK_MS = 2000;
