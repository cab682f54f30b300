import type { Result } from 'neverthrow';
import type Manifest from '../settings/Manifest';
import type CallerRequest from './CallerRequest';
import type CallerSubmission from './CallerSubmission';
import type RequestError from './RequestError';

/** One route of the callers' interface. */
export default interface Route {
  readonly method: string;
  readonly path: RegExp;
  /** Makes a submission of the request, or says what is wrong with it. */
  readonly parse: (
    req: CallerRequest,
    manifest: Manifest,
    nowMs: number,
  ) => Result<CallerSubmission, RequestError>;
}
