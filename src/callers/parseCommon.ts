import type Manifest from '../settings/Manifest';
import type ServiceConfig from '../settings/ServiceConfig';
import type CallerRequest from './CallerRequest';
import type CommonFields from './CommonFields';
import headerOf from './headerOf';
import type RequestFindings from './RequestFindings';

/** Parses the fields that all requests have: team, deadline, wait and trace context. */
export default function parseCommon(
  req: CallerRequest,
  manifest: Manifest,
  service: ServiceConfig,
  findings: RequestFindings,
): CommonFields {
  const deadline = headerOf(req.headers, 'magnoliakeel-deadline-ms');
  const wait = req.query.get('wait') ?? undefined;
  const waitMs = parseMs('query wait', wait, findings);
  return {
    team: parseTeam(req, manifest, findings),
    deadlineMs: parseMs('header Magnoliakeel-Deadline-Ms', deadline, findings),
    waitMs: Math.min(waitMs, service.jobTimeoutMs),
    traceparent: headerOf(req.headers, 'traceparent') ?? '',
  };
}

function parseTeam(
  req: CallerRequest,
  { teams, system }: Manifest,
  findings: RequestFindings,
): string {
  const team = headerOf(req.headers, 'magnoliakeel-team') ?? system.defaultTeam;
  const isKnown = team === system.defaultTeam || teams.some(({ name }) => name === team);
  if (!isKnown) findings.add('header Magnoliakeel-Team', `there is no team "${team}"`);
  return team;
}

function parseMs(location: string, text: string | undefined, findings: RequestFindings): number {
  if (text === undefined) return 0;
  const value = Number(text);
  if (/^\d+$/.test(text) && value <= MAX_MS) return value;
  findings.add(location, `found "${text}", expected milliseconds from 0 to ${MAX_MS}`);
  return 0;
}

const MAX_MS = 86_400_000;
