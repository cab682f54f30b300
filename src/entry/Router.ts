import { create, type MessageInitShape } from '@bufbuild/protobuf';
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
import type JobTable from './JobTable';
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
    private readonly jobs: JobTable,
  ) {}

  /** Creates the router of an entry with the jobs that it owns itself. */
  static create(options: RouterOptions, jobs: JobTable): Router {
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
      await this.options.nextViewOrDelay(RETRY_MS);
    }
    return giveUp();
  }

  /**
   * Acts on a submission that another entry forwarded, under no older
   * configuration than that entry's: a service that it knows is known here.
   */
  async handleForwarded(
    submission: Submission,
    version: bigint,
    gone: AbortSignal,
  ): Promise<ForwardResponse> {
    if (!(await this.hasVersion(version))) {
      return this.answeredWith(behind());
    }
    const reply = await this.jobs.handle(submission);
    if (reply.kind === 'notOwner') return this.notOwner(reply.mayHaveRun);
    if (reply.kind === 'answer') return this.answeredWith(reply.answer);
    const { answer, sent } = await this.passOn(submission, this.memberOf(reply.incarnation), gone);
    return answer ? this.answeredWith(answer) : this.notOwner(sent);
  }

  /** Has the sender try again, with the newest view. */
  private notOwner(mayHaveRun: boolean): ForwardResponse {
    const value = this.options.views.current;
    return this.responseOf({ result: { case: 'notOwner', value }, mayHaveRun });
  }

  private answeredWith(value: Answer): ForwardResponse {
    return this.responseOf({ result: { case: 'answer', value } });
  }

  private responseOf(init: MessageInitShape<typeof ForwardResponseSchema>): ForwardResponse {
    const configurationVersion = this.options.configurations.number;
    return create(ForwardResponseSchema, { ...init, configurationVersion });
  }

  private hasVersion(version: bigint): Promise<boolean> {
    const { configurations, timer } = this.options;
    return configurations.reached(version, timer, VERSION_WAIT_MS);
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
    const { network, views, configurations, tracer } = this.options;
    const { signal, end } = this.options.watchOwner(member.incarnation, gone);
    const reply = await traceForward(tracer, submission, member, async (traced) => {
      const req = create(ForwardRequestSchema, {
        submission: traced,
        view: views.current,
        configurationVersion: configurations.number,
      });
      return network.forward(member.address, req, signal);
    });
    end();
    if (reply.isErr()) return { sent: reply.error.kind === 'broken' };
    await this.hasVersion(reply.value.configurationVersion);
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

/** The other entry has a newer configuration than came here in time. */
function behind(): Answer {
  return create(AnswerSchema, {
    outcome: Outcome.UNKNOWN,
    reason: 'the owner of this id does not have the newest configuration yet; submit it again',
    retryAfterMs: COME_BACK_MS,
  });
}

/** How long to wait for a configuration that another entry has already. */
const VERSION_WAIT_MS = 2000;

/** When a caller may try again after its owner was not reached. */
const COME_BACK_MS = 2000;
