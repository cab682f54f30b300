import type RequestError from './RequestError';
import type RequestFinding from './RequestFinding';

/** Collects the mistakes of one request, so that its caller hears of them together. */
export default class RequestFindings {
  private readonly kept: RequestFinding[] = [];

  private count = 0;

  private constructor() {}

  /** Creates an empty collection. */
  static create(): RequestFindings {
    return new RequestFindings();
  }

  /** Whether nothing wrong was found. */
  get isEmpty(): boolean {
    return this.count === 0;
  }

  /** Adds a mistake; beyond a limit it is only counted. */
  add(place: string, reason: string): void {
    this.count += 1;
    if (this.kept.length < MAX_KEPT) this.kept.push({ place, reason });
  }

  /** The refusal that names them all. */
  toError(): RequestError {
    const [first] = this.kept;
    const more = this.count > 1 ? ` (and ${this.count - 1} more)` : '';
    const reason = `${first!.place}: ${first!.reason}${more}`;
    return { status: BAD_REQUEST, reason, findings: this.kept };
  }
}

const BAD_REQUEST = 400;

/** Most mistakes that one refusal names. */
const MAX_KEPT = 20;
