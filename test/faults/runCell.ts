import MatrixCell from './MatrixCell';
import faults from './faults';
import steps from './steps';

/** How long after the fault what the step held back goes on. */
const RELEASE_MS = 40;

/** Runs one cell of the matrix and says in a line what came of it. */
export default async function runCell(faultName: string, stepName: string): Promise<string> {
  const cell = await MatrixCell.open();
  const { system } = cell;
  const fault = faults[faultName]!;
  const release = await steps[stepName]!(cell);
  if (typeof release === 'string') return `not met: ${release}`;
  const { roles } = cell;
  fault.strike(system, roles);
  await system.timer.advance(RELEASE_MS);
  await release();
  await system.timer.advance(fault.lastsMs);
  await fault.end(system, roles);
  for (const name of [...system.entries.keys(), ...system.sidecars.keys()]) {
    if (!system.isRunning(name)) await system.restart(name);
  }
  return cell.conclude();
}
