import { err, ok, type Result } from 'neverthrow';
import type Manifest from '../settings/Manifest';
import type CallerRequest from './CallerRequest';
import type CommonFields from './CommonFields';
import headerOf from './headerOf';
import type RequestError from './RequestError';

const MAX_MS = 86_400_000;

/** Reads what all requests have in common: service, team, deadline, wait and trace. */
export default function parseCommon(
  req: CallerRequest,
  manifest: Manifest,
): Result<CommonFields, RequestError> {
  const name = req.names[0]!;
  const service = manifest.services.find((candidate) => candidate.name === name);
  if (!service) return err({ status: 404, reason: `service: there is no service "${name}"` });
  const team = headerOf(req.headers, 'magnoliakeel-team') ?? manifest.system.defaultTeam;
  const isKnown = manifest.teams.some((candidate) => candidate.name === team);
  if (!isKnown && team !== manifest.system.defaultTeam) {
    const reason = `header Magnoliakeel-Team: there is no team "${team}"`;
    return err({ status: 400, reason });
  }
  const deadline = headerOf(req.headers, 'magnoliakeel-deadline-ms');
  const deadlineMs = parseMs('header Magnoliakeel-Deadline-Ms', deadline);
  if (deadlineMs.isErr()) return err(deadlineMs.error);
  const waitMs = parseMs('query wait', req.query.get('wait') ?? undefined);
  if (waitMs.isErr()) return err(waitMs.error);
  const traceparent = headerOf(req.headers, 'traceparent') ?? '';
  return ok({ service, team, deadlineMs: deadlineMs.value, waitMs: waitMs.value, traceparent });
}

function parseMs(place: string, text: string | undefined): Result<number, RequestError> {
  if (text === undefined) return ok(0);
  const value = Number(text);
  if (/^\d+$/.test(text) && value <= MAX_MS) return ok(value);
  const reason = `${place}: found "${text}", expected milliseconds from 0 to ${MAX_MS}`;
  return err({ status: 400, reason });
}
