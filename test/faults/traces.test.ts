import { readdirSync, readFileSync } from 'node:fs';
import { expect, it } from 'vitest';
import replayTrace from './replayTrace';
import type Trace from './Trace';

const folder = new URL('../traces/', import.meta.url);
const names = readdirSync(folder).sort();

it.each(names)('replays %s with the expected outcomes', async (name) => {
  const trace = JSON.parse(readFileSync(new URL(name, folder), 'utf8')) as Trace;
  const { outcomes, broken } = await replayTrace(trace);
  expect({ outcomes, broken }).toEqual({ outcomes: trace.outcomes, broken: [] });
});
