import { expect, it } from 'vitest';
import OutlierDetector from '../../src/dispatch/OutlierDetector';
import { TaskStatus } from '../../src/gen/magnoliakeel/v1/peer_pb';
import DispatcherCase from '../support/DispatcherCase';

const LIMITS = {
  failureShare: 0.5,
  minTasks: 4,
  windowMs: 10_000,
  probationMs: 1000,
  maxShare: 0.3,
};

/** Four backend servers with four finished tasks each, some of which failed at those named. */
function afterFailuresOf(failing: string, failures: number): OutlierDetector {
  const ejections = OutlierDetector.create(() => LIMITS);
  for (let at = 0; at < 4; at += 1) {
    [...'wxyz'].forEach((name) =>
      ejections.taskEnded(name, failing.includes(name) && at < failures, 0),
    );
  }
  [...failing].forEach((name) => ejections.taskEnded(name, failures > 0, 1));
  return ejections;
}

function avoided(ejections: OutlierDetector, now: number): string {
  return [...'wxyz'].filter((name) => ejections.isEjected(name, now)).join('');
}

it('ejects a backend server that fails far more often than the others, and no others', () => {
  expect({
    allOfOne: avoided(afterFailuresOf('x', 4), 1),
    fewOfOne: avoided(afterFailuresOf('x', 1), 1),
    allOfTwo: avoided(afterFailuresOf('yz', 4), 1),
    allOfAll: avoided(afterFailuresOf('wxyz', 4), 1),
  }).toMatchInlineSnapshot(`
    {
      "allOfAll": "",
      "allOfOne": "x",
      "allOfTwo": "y",
      "fewOfOne": "",
    }
  `);
});

it('sends a single task as a probe after the probation', () => {
  const ejections = afterFailuresOf('x', 4);
  const afterProbation = avoided(ejections, 1001);
  ejections.taskStarted('x');
  ejections.taskNotRun('x');
  const notRun = avoided(ejections, 1001);
  ejections.taskStarted('x');
  const onTrial = avoided(ejections, 1001);
  ejections.taskEnded('x', true, 1100);
  const afterFailure = avoided(ejections, 2099);
  ejections.taskStarted('x');
  ejections.taskEnded('x', false, 2200);
  const afterSuccess = avoided(ejections, 2200);
  expect({ afterProbation, notRun, onTrial, afterFailure, afterSuccess }).toMatchInlineSnapshot(`
    {
      "afterFailure": "x",
      "afterProbation": "",
      "afterSuccess": "",
      "notRun": "",
      "onTrial": "x",
    }
  `);
});

it('neither uses nor lends the credits of an ejected backend server', () => {
  const fixture = DispatcherCase.create({
    ejectionLimitsOf: () => ({ ...LIMITS, minTasks: 1, maxShare: 1 }),
  });
  fixture.openLinks('x');
  fixture.grant('x', 1);
  fixture.enqueue('j');
  fixture.reportDone('x', 'j', 0, TaskStatus.FAILED);
  fixture.enqueue('k');
  expect([fixture.takeLog(), fixture.dispatcher.serviceLoads()[0]!.idle]).toMatchInlineSnapshot(`
    [
      "x: start j/0
    j/0 FAILED",
      0,
    ]
  `);
});
