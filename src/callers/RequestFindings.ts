import type RequestError from './RequestError';
import type RequestFinding from './RequestFinding';

/** Collects the errors of one request, so that one refusal reports them all. */
export default class RequestFindings {
  private readonly listed: RequestFinding[] = [];

  private count = 0;

  private constructor() {}

  /** Creates an empty collection. */
  static create(): RequestFindings {
    return new RequestFindings();
  }

  /** Whether no error was found. */
  get isEmpty(): boolean {
    return this.count === 0;
  }

  /** Adds an error; beyond a limit, errors are only counted. */
  add(place: string, reason: string): void {
    this.count += 1;
    if (this.listed.length < MAX_LISTED) this.listed.push({ place, reason });
  }

  /** The refusal with all errors. */
  toError(): RequestError {
    const [first] = this.listed;
    const more = this.count > 1 ? ` (and ${this.count - 1} more)` : '';
    const reason = `${first!.place}: ${first!.reason}${more}`;
    return { status: BAD_REQUEST, reason, findings: this.listed };
  }
}

const BAD_REQUEST = 400;

/** Maximum number of errors listed in one refusal. */
const MAX_LISTED = 20;
