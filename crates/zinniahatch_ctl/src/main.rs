//! `zinniactl`, the command-line tool of operators and managers.

use std::process::ExitCode;
use zinniahatch_ctl::CtlArgs;
use zinniahatch_ctl::run;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: CtlArgs = argh::from_env();
    match run(args).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("zinniactl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
