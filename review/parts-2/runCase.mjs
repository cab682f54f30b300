/* global process */
import Deployment from './Deployment.mjs';

/** Node itself ends with 1 on an error, so that code says nothing. */
const BROKEN = 10;
const HELD = 0;
const COULD_NOT_RUN = 2;

/**
 * Plays a case on a deployment and ends this process: with 0 if the rule held, with 10 if it was broken, which `run.sh`
 * turns into 1, and with 2 if the case could not run. `play` resolves to whether the rule was broken, or to undefined if that
 * cannot be said. The processes of the deployment are ended, and what happened is written to the folder of the case.
 */
export default async function runCase(folder, options, play) {
  const deployment = new Deployment(folder);
  const { record } = deployment;
  const end = async (exitCode) => {
    record.add(`exit code ${exitCode}`);
    await deployment.stop();
    record.write();
    process.exit(exitCode);
  };
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) =>
    process.once(signal, () => end(COULD_NOT_RUN)),
  );
  try {
    await deployment.start(options);
    const isBroken = await play(deployment);
    if (isBroken === undefined) await end(COULD_NOT_RUN);
    else await end(isBroken ? BROKEN : HELD);
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
    await end(COULD_NOT_RUN);
  }
}
