import { expect, test } from 'vitest';
import CtlCase from '../support/CtlCase';

const TEAMS = [{ team: 'web', running: 4, queued: 7 }];
const LOADS = [{ service: 'booking', idle: 0, queued: 7, oldestWaitMs: 250, teams: TEAMS }];

function systemOfFour(): CtlCase {
  const fixture = new CtlCase();
  fixture.setStatus(() => [
    { instance: 'entry-1', jobs: 12, loads: LOADS, operators: '10.0.0.1:1' },
    { instance: 'entry-2', reachable: false, configurationVersion: 0, viewNumber: 0 },
    { instance: 'sidecar-1', role: 'sidecar', operators: '10.0.0.9:1', services: ['booking'] },
    { instance: 'sidecar-2', role: 'sidecar', leaving: true, links: 2 },
  ]);
  return fixture;
}

test('status shows every process and service', async () => {
  expect(await systemOfFour().run('status')).toMatchInlineSnapshot(`
    "0
    out: 2 entries, 2 sidecars; view 4, version 2 in force at entry-2, not everywhere
    out: 
    out: INSTANCE   ROLE     ZONE  VERSION  VIEW  JOBS  QUEUE  IDLE  LINKS  SERVICES  OPERATORS   STATE
    out: entry-1    entry    a           2     4    12      7     0  -      -         10.0.0.1:1  working
    out: entry-2    entry    a     -        -     -     -      -     -      -         -           does not answer
    out: sidecar-1  sidecar  a           2  -     -     -      -         0  booking   10.0.0.9:1  working
    out: sidecar-2  sidecar  a           2  -     -     -      -         2  none      -           leaving
    out: 
    out: SERVICE  QUEUE  OLDEST MS  RUNNING  IDLE
    out: booking      7        250        4     0"
  `);
});

test('drain makes a process leave by its name, or reports why it cannot', async () => {
  const fixture = systemOfFour();
  fixture.answers.set('POST 10.0.0.9:1/v1/drain', () => ({ status: 202, body: { leaving: true } }));
  const lines = ['drain sidecar-1', 'drain sidecr-2', 'drain sidecar-2', 'drain entry-1 --json'];
  lines.push('drain sidecar-1 --wait --limit 1');
  const outputs: string[] = [];
  for (const line of lines) outputs.push(await fixture.run(line));
  expect(outputs).toMatchInlineSnapshot(`
    [
      "0
    out: sidecar-1 finishes its work and leaves.",
      "8
    err: there is no process "sidecr-2"; did you mean "sidecar-2"?",
      "6
    err: sidecar-2 cannot be asked to leave: its operators' address is not known",
      "6
    out: {"exitCode":6,"reason":"entry-1 cannot be asked to leave: connection refused","instance":"entry-1"}",
      "7
    err: sidecar-1 was asked to leave and is still there",
    ]
  `);
});

test('drain --wait ends when the process is gone', async () => {
  const fixture = new CtlCase();
  const goneAt = fixture.timer.now() + 1_000;
  const sidecar = { instance: 'sidecar-1', operators: '10.0.0.9:1' };
  fixture.setStatus(() => (fixture.timer.now() < goneAt ? [sidecar] : []));
  fixture.answers.set('POST 10.0.0.9:1/v1/drain', () => ({ status: 202, body: { leaving: true } }));
  expect(await fixture.run('drain sidecar-1 --wait')).toMatchInlineSnapshot(`
    "0
    out: sidecar-1 has left after 1000 ms."
  `);
});

test('jobs shows where the tasks of a job ran', async () => {
  const fixture = systemOfFour();
  const tasks = [
    { index: 0, sidecar: 'sidecar-1.1', status: 'completed' },
    { index: 1, sidecar: '', status: 'waiting' },
  ];
  const holder = { entry: 'entry-1', outcome: 'pending', reason: '', size: 2, finished: 1, tasks };
  const report = { owner: 'entry-2', silent: [], services: ['booking'] };
  const answer = (service: string, holders: object[]) => () => ({
    status: holders.length > 0 ? 200 : 404,
    body: { ...report, service, id: 'trip 1', holders },
  });
  fixture.answers.set('GET 10.0.0.2:1/v1/jobs/booking/7?kind=job', answer('booking', [holder]));
  fixture.answers.set('GET 10.0.0.2:1/v1/jobs/boking/7?kind=job', answer('boking', []));
  const lines = ['jobs booking 7', 'jobs boking 7', 'jobs booking 7 --entry 10.0.0.8:1'];
  const outputs: string[] = [];
  for (const line of lines) outputs.push(await fixture.run(line));
  expect(outputs).toMatchInlineSnapshot(`
    [
      "0
    out: booking/trip 1: pending, 1 of 2 tasks finished, at entry-1; its owner is entry-2
    out: TASK  SIDECAR      STATUS
    out:    0  sidecar-1.1  completed
    out:    1  -            waiting",
      "8
    err: no entry has a record of boking/trip 1, did you mean the service "booking"?",
      "6
    err: no entry answers
    err:   10.0.0.8:1: connection refused",
    ]
  `);
});
