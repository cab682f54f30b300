import { err, ok, type Result } from 'neverthrow';
import type Manifest from '../settings/Manifest';
import type ServiceConfig from '../settings/ServiceConfig';
import type CallerRequest from './CallerRequest';
import type RequestError from './RequestError';

/** Looks up the service named in a request's path. */
export default function findService(
  { pathParameters }: CallerRequest,
  { services }: Manifest,
): Result<ServiceConfig, RequestError> {
  const service = services.find(({ name }) => name === pathParameters[0]);
  if (service) return ok(service);
  return err({ status: 404, reason: `service: there is no service "${pathParameters[0]}"` });
}
