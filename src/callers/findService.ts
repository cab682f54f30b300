import { err, ok, type Result } from 'neverthrow';
import type Manifest from '../settings/Manifest';
import type ServiceConfig from '../settings/ServiceConfig';
import type CallerRequest from './CallerRequest';
import type RequestError from './RequestError';

/** The service that a request's path names. */
export default function findService(
  { names }: CallerRequest,
  { services }: Manifest,
): Result<ServiceConfig, RequestError> {
  const service = services.find(({ name }) => name === names[0]);
  if (service) return ok(service);
  return err({ status: 404, reason: `service: there is no service "${names[0]}"` });
}
