import type { Result } from 'neverthrow';
import type Manifest from '../settings/Manifest';
import type CallerRequest from './CallerRequest';
import type CallerSubmission from './CallerSubmission';
import type RequestError from './RequestError';

/** A route of the HTTP interface for callers. */
export default interface Route {
  readonly method: string;
  readonly path: RegExp;
  /** Parses the request into a submission, or returns the reason to refuse it. */
  readonly parse: (
    req: CallerRequest,
    manifest: Manifest,
    nowMs: number,
  ) => Result<CallerSubmission, RequestError>;
}
